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
import org.cardamomthread.daemon.view.generated.LeavingEndpoint;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence;
import org.cardamomthread.daemon.view.generated.PromptPartEvidence.Kind;
import org.cardamomthread.daemon.view.generated.QuarantinedPart;
import org.cardamomthread.daemon.view.generated.TrialRequest;
import org.cardamomthread.daemon.view.generated.TrialResponse;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.replication.ReplicationGroup;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link ViewServer} together with {@link ViewUpdater}, in particular across leader changes.
 */
public class ViewServerTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final PromptPartKey DEADLY = PromptPartKey.of(CHAT, "deadly");
    private static final NodeId GATEWAY = new NodeId("gateway");
    private static final EndpointId REMOVED_ENDPOINT = new EndpointId("ended");
    private static final EndpointId REMAINING_ENDPOINT = new EndpointId("staying");

    /** Pause after a leader change, in which a trial of the one before may end. */
    private static final long TRIAL_PAUSE_MS = 3_000;

    private ManualTimeSource time;
    private ControlThread controlThread;
    private ViewUpdater updater;
    private int trials;

    /** Holds the registry and the view server of a control node. */
    private record ControlNode(
            EndpointRegistry registry, QuarantineServer quarantine, ViewServer server) {}

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

    /** Guards against a gateway that never finds the leader because its seeds do not vote. */
    @Test
    public void refusalNamesTheKnownControlNodes() throws Exception {
        List<NodeId> known = List.of(new NodeId("10.0.0.1"), new NodeId("10.0.0.2"));
        ViewServer server = createServer("one", Optional.empty(), known);
        byte[] payload =
                server.handle(GATEWAY, ViewRequest.getDefaultInstance().toByteArray())
                        .toCompletableFuture()
                        .get();
        ViewResponse response = ViewResponse.parseFrom(payload);
        assertFalse(response.getRefusal().isEmpty());
        assertEquals(response.getLeader(), "");
        assertEquals(response.getControlNodesList(), known.stream().map(NodeId::value).toList());
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

    @Test
    public void tellsGatewaysOfEndpointThatStatedToOneThatItLeaves() throws Exception {
        ControlNode leader = createNode("one");
        leader.registry().accept(report(REMAINING_ENDPOINT, 1));
        poll(leader);
        ViewRequest.Builder request = ViewRequest.newBuilder();
        request.addLeaving(leaving(REMAINING_ENDPOINT.value(), 1));
        request.addLeaving(leaving("unknown", 1));
        request.addLeaving(leaving("not a valid id", 1));
        leader.server()
                .handle(new NodeId("other"), request.build().toByteArray())
                .toCompletableFuture()
                .get();
        leader.registry().accept(report(REMAINING_ENDPOINT, 2));
        poll(leader);
        assertTrue(updater.view().endpoints().get(REMAINING_ENDPOINT).report().isDraining());
    }

    @DataProvider
    public Object[][] otherIncarnations() {
        return new Object[][] {{0L}, {2L}};
    }

    @Test(dataProvider = "otherIncarnations")
    public void keepsEndpointOpenOfWhichAnotherIncarnationLeaves(long startTimeMs)
            throws Exception {
        ControlNode leader = createNode("one");
        leader.registry().accept(report(REMAINING_ENDPOINT));
        assertFalse(leader.registry().drain(REMAINING_ENDPOINT, startTimeMs));
        poll(leader);
        assertFalse(updater.view().endpoints().get(REMAINING_ENDPOINT).report().isDraining());
    }

    private static LeavingEndpoint leaving(String id, long startTimeMs) {
        return LeavingEndpoint.newBuilder().setId(id).setBornMs(startTimeMs).build();
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

    @Test
    public void tellsGatewaysOfQuarantinedPartsOnce() throws Exception {
        ControlNode leader = createNode("one");
        poll(leader, lost(DEADLY, REMOVED_ENDPOINT));
        assertTrue(updater.view().recordedParts().containsKey(DEADLY));
        assertFalse(poll(leader).getQuarantineListed());
        assertTrue(updater.view().recordedParts().containsKey(DEADLY));
    }

    @Test
    public void keepsQuarantineOverLeaderChangesInBothDirections() throws Exception {
        ControlNode first = createNode("one");
        ControlNode second = createNode("two");
        poll(first, lost(DEADLY, REMOVED_ENDPOINT));
        for (ControlNode leader : List.of(second, first)) {
            for (int i = 0; i < 3; i++) {
                poll(leader);
                assertTrue(updater.view().recordedParts().containsKey(DEADLY));
            }
            assertFalse(mayTry(leader));
        }
        time.advanceMs(TRIAL_PAUSE_MS);
        assertTrue(mayTry(first));
        assertFalse(mayTry(first), "during a trial");
    }

    @Test
    public void releasesAPartWhoseEndpointGoesOnReporting() throws Exception {
        ControlNode leader = createNode("one");
        leader.registry().accept(report(REMAINING_ENDPOINT));
        poll(leader, lost(DEADLY, REMAINING_ENDPOINT));
        for (int i = 2; i <= LostEndpoints.REPORTS_OF_LIVE_ENDPOINT + 1; i++) {
            assertTrue(updater.view().recordedParts().containsKey(DEADLY));
            leader.registry().accept(report(REMAINING_ENDPOINT, i));
            poll(leader);
        }
        assertFalse(updater.view().recordedParts().containsKey(DEADLY));
    }

    @Test
    public void listsTheStrongestEvidenceOnly() throws Exception {
        ControlNode leader = createNode("one");
        poll(leader, lost(DEADLY, REMOVED_ENDPOINT));
        poll(leader, lost(DEADLY, REMAINING_ENDPOINT));
        for (int i = 0; i < 2 * QuarantineServer.MAX_LISTED_PARTS; i++) {
            poll(leader, lost(PromptPartKey.of(CHAT, "other" + i), REMOVED_ENDPOINT));
        }
        Set<PromptPartKey> recorded = updater.view().recordedParts().keySet();
        assertEquals(recorded.size(), QuarantineServer.MAX_LISTED_PARTS);
        assertTrue(recorded.contains(DEADLY));
    }

    @Test
    public void ignoresALossWithoutAnEndpoint() throws Exception {
        ControlNode leader = createNode("one");
        PromptPartEvidence loss = QuarantineCodec.createEvidence(Kind.LOST, DEADLY);
        poll(leader, loss);
        assertTrue(updater.view().recordedParts().isEmpty());
    }

    @DataProvider
    public Object[][] malformedQuarantines() {
        QuarantinedPart sound =
                QuarantinedPart.newBuilder()
                        .setPart(QuarantineCodec.encode(DEADLY))
                        .setCrashes(1)
                        .build();
        return new Object[][] {
            {QuarantinedPart.getDefaultInstance()},
            {sound.toBuilder().setCrashes(0).build()},
            {sound.toBuilder().setCrashes(-1).build()},
            {sound.toBuilder().setConfirmedCrashes(-1).build()},
            {sound.toBuilder().setLostEndpoints(-1).build()},
            {sound.toBuilder().setTrialWaitMs(-1).build()},
            {sound.toBuilder().setTrialWaitMs(Long.MAX_VALUE).build()},
        };
    }

    @Test(dataProvider = "malformedQuarantines")
    public void ignoresAMalformedQuarantine(QuarantinedPart malformed) throws Exception {
        assertTrue(
                updater.apply(
                        ViewResponse.newBuilder()
                                .setRegisterSource("one")
                                .setQuarantineListed(true)
                                .addQuarantined(malformed)
                                .build()));
        assertTrue(updater.view().recordedParts().isEmpty());
    }

    private static PromptPartEvidence lost(PromptPartKey part, EndpointId endpoint) {
        return QuarantineCodec.createEvidence(Kind.LOST, part).toBuilder()
                .setEndpoint(endpoint.value())
                .setStartMs(1)
                .build();
    }

    private boolean mayTry(ControlNode node) throws Exception {
        TrialRequest request =
                TrialRequest.newBuilder()
                        .setTrial("trial" + time.monotonicMs() + trials++)
                        .addParts(QuarantineCodec.encode(DEADLY))
                        .build();
        byte[] response =
                node.quarantine()
                        .handleTrial(GATEWAY, request.toByteArray())
                        .toCompletableFuture()
                        .get();
        return TrialResponse.parseFrom(response).getPermitted();
    }

    private ViewResponse poll(ControlNode node, PromptPartEvidence... evidence) throws Exception {
        ViewRequest.Builder request = ViewRequest.newBuilder();
        request.addAllEvidence(List.of(evidence));
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
        QuarantineServer quarantine = createQuarantine(registry);
        ViewServer server =
                createServer(
                        name,
                        Optional.of(new FakeReplicationGroup()),
                        List.of(),
                        registry,
                        quarantine);
        return new ControlNode(registry, quarantine, server);
    }

    private ViewServer createServer(
            String name, Optional<ReplicationGroup> group, List<NodeId> controlNodes) {
        EndpointRegistry registry = new EndpointRegistry(time);
        return createServer(name, group, controlNodes, registry, createQuarantine(registry));
    }

    private QuarantineServer createQuarantine(EndpointRegistry registry) {
        return new QuarantineServer(
                registry, () -> OptionalLong.of(2), controlThread, time, new DecisionLog(time));
    }

    private ViewServer createServer(
            String name,
            Optional<ReplicationGroup> group,
            List<NodeId> controlNodes,
            EndpointRegistry registry,
            QuarantineServer quarantine) {
        return new ViewServer(
                new TrafficReplica(),
                () -> group,
                registry,
                new GatewayReports(time, 2_000),
                new LeavingEndpointReports(registry, new DecisionLog(time)),
                quarantine,
                () -> controlNodes,
                controlThread,
                time,
                name);
    }

    private static EndpointReport report(EndpointId id) {
        String address = "10.0.0." + id.value().length() + ":80";
        return TestEndpoints.createReport(id.value(), CHAT, address, false);
    }

    private static EndpointReport report(EndpointId id, long sequence) {
        EndpointReport report = report(id);
        return new EndpointReport(
                report.id(),
                report.startTimeMs(),
                sequence,
                report.service(),
                report.address(),
                report.dataCentre(),
                report.version(),
                report.slots(),
                report.isDraining(),
                report.coldMs(),
                report.isReclaimable());
    }
}
