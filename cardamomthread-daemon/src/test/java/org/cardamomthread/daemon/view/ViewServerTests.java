package org.cardamomthread.daemon.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.registry.EndpointRegister;
import org.cardamomthread.daemon.testing.FakeReplicationGroup;
import org.cardamomthread.daemon.testing.TestDialect;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ViewServer} and {@link ViewFollower} across a change of the leader. */
public class ViewServerTests {

    private static final NodeId GATEWAY = new NodeId("gateway");
    private static final EndpointId ENDED = new EndpointId("ended");
    private static final EndpointId STAYING = new EndpointId("staying");

    private ManualTimeSource time;
    private ControlThread control;
    private ViewFollower follower;

    /** Holds a control node's register and server. */
    private record Node(EndpointRegister register, ViewServer server) {}

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        time.advanceMs(10_000);
        control = new ControlThread("view-tests");
        follower = new ViewFollower(new TestDialect(), time);
    }

    @AfterMethod
    public void tearDown() {
        control.close();
    }

    @Test
    public void sendsOnlyChangesToAGatewayThatFollows() throws Exception {
        Node leader = createNode("one");
        leader.register().accept(report(STAYING));
        assertTrue(poll(leader).getRegisterComplete());
        ViewResponse next = poll(leader);
        assertFalse(next.getRegisterComplete());
        assertEquals(next.getEndpointsCount(), 0);
    }

    /** The end was confirmed by the leader before, after this gateway's last request to it. */
    @Test
    public void dropsAnEndpointThatEndedWhileTheLeaderChanged() throws Exception {
        Node before = createNode("one");
        Node after = createNode("two");
        for (Node node : List.of(before, after)) {
            node.register().accept(report(ENDED));
            node.register().accept(report(STAYING));
        }
        poll(before);
        assertTrue(follower.view().endpoints().containsKey(ENDED));
        before.register().remove(ENDED, 0);
        after.register().remove(ENDED, 0);
        poll(after);
        assertFalse(follower.view().endpoints().containsKey(ENDED));
        assertTrue(follower.view().endpoints().containsKey(STAYING));
    }

    /** A new leader's register fills up within one period of reports. */
    @Test
    public void keepsEndpointsForAWhileThatANewLeaderDoesNotKnowYet() throws Exception {
        Node before = createNode("one");
        before.register().accept(report(STAYING));
        poll(before);
        Node after = createNode("two");
        poll(after);
        assertTrue(follower.view().endpoints().containsKey(STAYING));
        time.advanceMs(ViewFollower.MERGE_MS + 1);
        poll(after);
        assertFalse(follower.view().endpoints().containsKey(STAYING));
    }

    private ViewResponse poll(Node node) throws Exception {
        ViewRequest.Builder request = ViewRequest.newBuilder();
        follower.describe(request);
        byte[] answer =
                node.server()
                        .handle(GATEWAY, request.build().toByteArray())
                        .toCompletableFuture()
                        .get();
        ViewResponse response = ViewResponse.parseFrom(answer);
        assertTrue(follower.accept(response));
        return response;
    }

    private Node createNode(String name) {
        EndpointRegister register = new EndpointRegister(time);
        ViewServer server =
                new ViewServer(
                        new TrafficReplica(),
                        () -> Optional.of(new FakeReplicationGroup()),
                        register,
                        new GatewayReports(time, 2_000),
                        List::of,
                        control,
                        time,
                        name);
        return new Node(register, server);
    }

    private static EndpointReport report(EndpointId id) {
        String address = "10.0.0." + id.value().length() + ":80";
        return TestEndpoints.report(id.value(), new ServiceId("chat"), address, false);
    }
}
