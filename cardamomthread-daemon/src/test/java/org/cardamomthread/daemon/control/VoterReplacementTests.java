package org.cardamomthread.daemon.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cardamomthread.configuration.traffic.generated.SetDrained;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.StorageException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replaces the hosts of the voters of the traffic group by others, one after the other. */
public class VoterReplacementTests {

    private static final List<NodeId> FIRST_VOTERS =
            List.of(new NodeId("node-1"), new NodeId("node-2"), new NodeId("node-3"));
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(30);

    /** The time in which a successor must count, by the users' settings. */
    private static final long CATCH_UP_MS = 4_000;

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final Map<NodeId, InProcessPeerTransport> network = new ConcurrentHashMap<>();
    private final Map<NodeId, ControlGroups> nodes = new HashMap<>();
    private volatile List<NodeId> knownVoters;
    private Path folder;

    /** Names the voters that the test knows. */
    private final class KnownVoters implements VoterDirectory {
        @Override
        public List<NodeId> voters(GroupId group) {
            return knownVoters;
        }

        @Override
        public void recordContact(NodeId node) {}
    }

    @BeforeMethod
    public void startFirstVoters() throws Exception {
        folder = Files.createTempDirectory("replacement");
        knownVoters = FIRST_VOTERS;
        for (NodeId node : FIRST_VOTERS) {
            start(node);
        }
        await(() -> leaderStatus().isPresent(), Long.MAX_VALUE, "a leader");
    }

    private void start(NodeId node) throws StorageException {
        TrafficReplica replica = new TrafficReplica();
        ControlGroups groups =
                new ControlGroups(
                        node,
                        Optional.of(folder.resolve(node.value())),
                        List.of(GroupDefinition.traffic(knownVoters, replica, replica::query)),
                        new KnownVoters(),
                        new InProcessPeerTransport(network, node),
                        timeSource,
                        new SplittableRandom(node.hashCode()));
        groups.start();
        nodes.put(node, groups);
    }

    @AfterMethod(alwaysRun = true)
    public void stopNodes() throws IOException {
        nodes.values().forEach(ControlGroups::close);
        nodes.clear();
        network.clear();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private void remove(NodeId node) {
        network.get(node).close();
        nodes.remove(node).close();
    }

    private Optional<ReplicationStatus> leaderStatus() {
        return nodes.values().stream()
                .flatMap(groups -> groups.getStatuses().stream())
                .filter(ReplicationStatus::isLeaseHeld)
                .findFirst();
    }

    private Set<NodeId> voters() {
        return leaderStatus().stream()
                .flatMap(status -> status.members().stream())
                .filter(ReplicaMember::isVoter)
                .map(ReplicaMember::nodeId)
                .collect(Collectors.toSet());
    }

    /** Advances the clock until a condition holds; fails if that takes longer than a bound. */
    private void await(BooleanSupplier condition, long maxMs, String expectation)
            throws InterruptedException {
        long startMs = timeSource.monotonicMs();
        while (!condition.getAsBoolean()) {
            assertTrue(
                    timeSource.monotonicMs() - startMs < maxMs,
                    "not within " + maxMs + " ms: " + expectation + "; voters " + voters());
            timeSource.advanceMs(5);
            Thread.sleep(2);
        }
    }

    private void drain(String dataCentre) throws Exception {
        TrafficCommand command =
                TrafficCommand.newBuilder()
                        .setSetDrained(
                                SetDrained.newBuilder().setDataCentre(dataCentre).setDrained(true))
                        .build();
        complete(
                anyNode()
                        .getClient()
                        .propose(GroupDefinition.TRAFFIC, command.toByteArray(), PROPOSAL_TIMEOUT));
    }

    private List<String> drainedDataCentres() throws Exception {
        byte[] state =
                complete(
                        anyNode()
                                .getClient()
                                .query(GroupDefinition.TRAFFIC, new byte[0], PROPOSAL_TIMEOUT));
        return TrafficState.parseFrom(state).getDrainedDataCentresList();
    }

    private ControlGroups anyNode() {
        return nodes.values().iterator().next();
    }

    private byte[] complete(CompletableFuture<byte[]> future) throws Exception {
        while (!future.isDone()) {
            timeSource.advanceMs(5);
            Thread.sleep(2);
        }
        return future.get(1, TimeUnit.SECONDS);
    }

    @DataProvider
    public Object[][] startsOfSuccessors() {
        return new Object[][] {{"after the loss", false}, {"as spares", true}};
    }

    /** Guards against a control plane that is lost once two of its first hosts were replaced. */
    @Test(dataProvider = "startsOfSuccessors")
    public void hostsAtNewAddressesTakeThePlacesOfLostVoters(String start, boolean areSpares)
            throws Exception {
        for (int i = 0; i < FIRST_VOTERS.size(); i++) {
            drain("data-centre-" + i);
            NodeId successor = new NodeId("successor-" + i);
            if (areSpares) {
                start(successor);
            }
            remove(FIRST_VOTERS.get(i));
            if (!areSpares) {
                start(successor);
            }
            await(() -> voters().contains(successor), CATCH_UP_MS, successor + " votes");
            assertEquals(voters().size(), FIRST_VOTERS.size());
            knownVoters = List.copyOf(voters());
        }
        drain("last");
        assertEquals(
                drainedDataCentres(),
                List.of("data-centre-0", "data-centre-1", "data-centre-2", "last"));
    }

    /** Guards against a spare that takes the place of a voter whose process is only restarted. */
    @Test
    public void spareDoesNotReplaceAVoterThatReturnsSoon() throws Exception {
        start(new NodeId("spare"));
        NodeId restarted = FIRST_VOTERS.get(0);
        remove(restarted);
        long restartMs = timeSource.monotonicMs() + 1_000;
        await(() -> timeSource.monotonicMs() >= restartMs, CATCH_UP_MS, "the time of the restart");
        start(restarted);
        long endMs = timeSource.monotonicMs() + 2 * CATCH_UP_MS;
        await(() -> timeSource.monotonicMs() >= endMs, 3 * CATCH_UP_MS, "the end");
        assertEquals(voters(), Set.copyOf(FIRST_VOTERS));
    }
}
