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
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.testing.FakeReplicationGroup;
import org.cardamomthread.daemon.testing.TestDialect;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ViewServer} and {@link ViewUpdater} across a change of the leader. */
public class ViewServerTests {

    private static final NodeId GATEWAY = new NodeId("gateway");
    private static final EndpointId REMOVED_ENDPOINT = new EndpointId("ended");
    private static final EndpointId REMAINING_ENDPOINT = new EndpointId("staying");

    private ManualTimeSource time;
    private ControlThread control;
    private ViewUpdater updater;

    /** Holds a control node's register and server. */
    private record ControlNode(EndpointRegistry registry, ViewServer server) {}

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        time.advanceMs(10_000);
        control = new ControlThread("view-tests");
        updater = new ViewUpdater(new TestDialect(), time);
    }

    @AfterMethod
    public void tearDown() {
        control.close();
    }

    @Test
    public void sendsOnlyChangesAfterFirstResponse() throws Exception {
        ControlNode leader = createNode("one");
        leader.registry().accept(report(REMAINING_ENDPOINT));
        assertTrue(poll(leader).getRegisterComplete());
        ViewResponse next = poll(leader);
        assertFalse(next.getRegisterComplete());
        assertEquals(next.getEndpointsCount(), 0);
    }

    /** The end was confirmed by the leader before, after this gateway's last request to it. */
    @Test
    public void removesEndpointThatEndedDuringLeaderChange() throws Exception {
        ControlNode before = createNode("one");
        ControlNode after = createNode("two");
        for (ControlNode node : List.of(before, after)) {
            node.registry().accept(report(REMOVED_ENDPOINT));
            node.registry().accept(report(REMAINING_ENDPOINT));
        }
        poll(before);
        assertTrue(updater.view().endpoints().containsKey(REMOVED_ENDPOINT));
        before.registry().remove(REMOVED_ENDPOINT, 0);
        after.registry().remove(REMOVED_ENDPOINT, 0);
        poll(after);
        assertFalse(updater.view().endpoints().containsKey(REMOVED_ENDPOINT));
        assertTrue(updater.view().endpoints().containsKey(REMAINING_ENDPOINT));
    }

    /** A new leader's register fills up within one period of reports. */
    @Test
    public void keepsEndpointsUnknownToNewLeaderDuringMergePeriod() throws Exception {
        ControlNode before = createNode("one");
        before.registry().accept(report(REMAINING_ENDPOINT));
        poll(before);
        ControlNode after = createNode("two");
        poll(after);
        assertTrue(updater.view().endpoints().containsKey(REMAINING_ENDPOINT));
        time.advanceMs(ViewUpdater.MERGE_PERIOD_MS + 1);
        poll(after);
        assertFalse(updater.view().endpoints().containsKey(REMAINING_ENDPOINT));
    }

    private ViewResponse poll(ControlNode node) throws Exception {
        ViewRequest.Builder request = ViewRequest.newBuilder();
        updater.addKnownRevisions(request);
        byte[] answer =
                node.server()
                        .handle(GATEWAY, request.build().toByteArray())
                        .toCompletableFuture()
                        .get();
        ViewResponse response = ViewResponse.parseFrom(answer);
        assertTrue(updater.apply(response));
        return response;
    }

    private ControlNode createNode(String name) {
        EndpointRegistry register = new EndpointRegistry(time);
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
        return new ControlNode(register, server);
    }

    private static EndpointReport report(EndpointId id) {
        String address = "10.0.0." + id.value().length() + ":80";
        return TestEndpoints.report(id.value(), new ServiceId("chat"), address, false);
    }
}
