package org.cardamomthread.daemon.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.FakeReplicationGroup;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.generated.EndpointEntry;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ViewServer} together with {@link ViewUpdater}, in particular across leader changes.
 */
public class ViewServerTests {

    private static final NodeId GATEWAY = new NodeId("gateway");
    private static final EndpointId REMOVED_ENDPOINT = new EndpointId("ended");
    private static final EndpointId REMAINING_ENDPOINT = new EndpointId("staying");

    private ManualTimeSource time;
    private ControlThread controlThread;
    private ViewUpdater updater;

    /** Holds the registry and the view server of a control node. */
    private record ControlNode(EndpointRegistry registry, ViewServer server) {}

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        time.advanceMs(10_000);
        controlThread = new ControlThread("view-tests");
        updater = new ViewUpdater(new TestPlatformDialect(), time);
    }

    @AfterMethod
    public void tearDown() {
        controlThread.close();
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

    /**
     * The previous leader confirmed the removal after this gateway's last request to it, so the
     * gateway learns of the removal only from the new leader.
     */
    @Test
    public void removesEndpointThatEndedDuringLeaderChange() throws Exception {
        ControlNode formerLeader = createNode("one");
        ControlNode newLeader = createNode("two");
        for (ControlNode node : List.of(formerLeader, newLeader)) {
            node.registry().accept(report(REMOVED_ENDPOINT));
            node.registry().accept(report(REMAINING_ENDPOINT));
        }
        poll(formerLeader);
        assertTrue(updater.view().endpoints().containsKey(REMOVED_ENDPOINT));
        formerLeader.registry().remove(REMOVED_ENDPOINT, 0);
        newLeader.registry().remove(REMOVED_ENDPOINT, 0);
        poll(newLeader);
        assertFalse(updater.view().endpoints().containsKey(REMOVED_ENDPOINT));
        assertTrue(updater.view().endpoints().containsKey(REMAINING_ENDPOINT));
    }

    /**
     * The registry of a new leader is complete only after every endpoint has reported to it; until
     * then, unknown endpoints must stay in the view.
     */
    @Test
    public void keepsEndpointsUnknownToNewLeaderDuringMergePeriod() throws Exception {
        ControlNode formerLeader = createNode("one");
        formerLeader.registry().accept(report(REMAINING_ENDPOINT));
        poll(formerLeader);
        ControlNode newLeader = createNode("two");
        poll(newLeader);
        assertTrue(updater.view().endpoints().containsKey(REMAINING_ENDPOINT));
        time.advanceMs(ViewUpdater.MERGE_PERIOD_MS + 1);
        poll(newLeader);
        assertFalse(updater.view().endpoints().containsKey(REMAINING_ENDPOINT));
    }

    @DataProvider
    public Object[][] malformedEntries() {
        EndpointEntry sound = EndpointEntryCodec.encode(report(new EndpointId("odd")), 0);
        return new Object[][] {
            {EndpointEntry.getDefaultInstance()},
            {sound.toBuilder().setId("x".repeat(129)).build()},
            {sound.toBuilder().setService("").build()},
            {sound.toBuilder().setVersion("v 1").build()},
            {sound.toBuilder().setAddress("10.0.0.3:70000").build()},
            {sound.toBuilder().setAddress("10.0.0.3:0").build()},
            {sound.toBuilder().setAddress("example:80").build()},
            {sound.toBuilder().setSlots(0).build()},
            {sound.toBuilder().setSlots(-5).build()},
            {sound.toBuilder().setColdMs(Long.MAX_VALUE).build()},
            {sound.toBuilder().setColdMs(-1).build()},
            {sound.toBuilder().setBornMs(-1).build()},
            {sound.toBuilder().setBornMs(Long.MAX_VALUE).build()},
            {sound.toBuilder().setSequence(Long.MAX_VALUE).build()},
        };
    }

    @Test(dataProvider = "malformedEntries")
    public void appliesTheOtherEntriesOfAViewWithAMalformedOne(EndpointEntry malformed)
            throws Exception {
        ViewResponse response =
                ViewResponse.newBuilder()
                        .setRegisterSource("one")
                        .setRegisterComplete(true)
                        .addEndpoints(malformed)
                        .addEndpoints(EndpointEntryCodec.encode(report(REMAINING_ENDPOINT), 0))
                        .addRemoved("")
                        .build();
        assertTrue(updater.apply(response));
        assertEquals(updater.view().endpoints().keySet(), Set.of(REMAINING_ENDPOINT));
    }

    private ViewResponse poll(ControlNode node) throws Exception {
        ViewRequest.Builder request = ViewRequest.newBuilder();
        updater.addKnownRevisions(request);
        byte[] payload =
                node.server()
                        .handle(GATEWAY, request.build().toByteArray())
                        .toCompletableFuture()
                        .get();
        ViewResponse response = ViewResponse.parseFrom(payload);
        assertTrue(updater.apply(response));
        return response;
    }

    private ControlNode createNode(String name) {
        EndpointRegistry registry = new EndpointRegistry(time);
        ViewServer server =
                new ViewServer(
                        new TrafficReplica(),
                        () -> Optional.of(new FakeReplicationGroup()),
                        registry,
                        new GatewayReports(time, 2_000),
                        new QuarantineServer(
                                registry,
                                () -> OptionalLong.of(2),
                                controlThread,
                                time,
                                new DecisionLog(time)),
                        List::of,
                        controlThread,
                        time,
                        name);
        return new ControlNode(registry, server);
    }

    private static EndpointReport report(EndpointId id) {
        String address = "10.0.0." + id.value().length() + ":80";
        return TestEndpoints.createReport(id.value(), new ServiceId("chat"), address, false);
    }
}
