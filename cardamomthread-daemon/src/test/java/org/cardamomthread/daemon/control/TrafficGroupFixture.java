package org.cardamomthread.daemon.control;

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
import org.cardamomthread.replication.VoterId;

/** Runs the nodes of one traffic group in this process, with folders on disk and a manual clock. */
final class TrafficGroupFixture {

    private static final long STEP_MS = 2;
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(30);

    private final int voterCount;
    private final Path folder;
    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final Map<NodeId, InProcessPeerTransport> network = new ConcurrentHashMap<>();
    private final Map<NodeId, ControlGroups> nodes = new HashMap<>();
    private volatile List<NodeId> knownVoters;

    /** Names the voters that the test knows. */
    private final class KnownVoters implements VoterDirectory {
        @Override
        public List<NodeId> voters(GroupId group) {
            return knownVoters;
        }

        @Override
        public void recordContact(NodeId node) {}
    }

    TrafficGroupFixture(int voterCount, List<NodeId> firstVoters) throws IOException {
        this.voterCount = voterCount;
        this.folder = Files.createTempDirectory("traffic-group");
        this.knownVoters = firstVoters;
    }

    void setKnownVoters(List<NodeId> voters) {
        knownVoters = List.copyOf(voters);
    }

    void start(NodeId node) throws StorageException {
        TrafficReplica replica = new TrafficReplica();
        ControlGroups groups =
                new ControlGroups(
                        node,
                        Optional.of(folder.resolve(node.value())),
                        List.of(
                                GroupDefinition.traffic(
                                        knownVoters, voterCount, replica, replica::query)),
                        new KnownVoters(),
                        new InProcessPeerTransport(network, node),
                        timeSource,
                        new SplittableRandom(node.hashCode()));
        groups.start();
        nodes.put(node, groups);
    }

    /** Stops a node and keeps its folder. */
    void remove(NodeId node) {
        network.get(node).close();
        nodes.remove(node).close();
    }

    /** Deletes the folder of a node that has been stopped. */
    void deleteFolder(NodeId node) throws IOException {
        delete(folder.resolve(node.value()));
    }

    void close() throws IOException {
        nodes.values().forEach(ControlGroups::close);
        nodes.clear();
        network.clear();
        delete(folder);
    }

    private static void delete(Path parent) throws IOException {
        try (Stream<Path> files = Files.walk(parent)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    long nowMs() {
        return timeSource.monotonicMs();
    }

    Optional<ReplicationStatus> leaderStatus() {
        return nodes.values().stream()
                .flatMap(groups -> groups.getStatuses().stream())
                .filter(ReplicationStatus::isLeaseHeld)
                .findFirst();
    }

    Set<NodeId> voters() {
        return leaderStatus().stream()
                .flatMap(status -> status.members().stream())
                .filter(ReplicaMember::isVoter)
                .map(ReplicaMember::nodeId)
                .collect(Collectors.toSet());
    }

    /** Returns whether each voter is a folder that a running node has. */
    boolean hasAllVoterFolders() {
        Set<VoterId> folders =
                nodes.values().stream()
                        .flatMap(groups -> groups.getStatuses().stream())
                        .map(ReplicationStatus::voterId)
                        .collect(Collectors.toSet());
        return leaderStatus()
                .filter(
                        status ->
                                status.members().stream()
                                        .filter(ReplicaMember::isVoter)
                                        .allMatch(member -> folders.contains(member.voterId())))
                .isPresent();
    }

    /** Lets time pass no faster than real time, which the nodes wait for between their ticks. */
    private void advanceOneStep() throws InterruptedException {
        Thread.sleep(STEP_MS);
        timeSource.advanceMs(STEP_MS);
    }

    /** Advances the clock until a condition holds; fails if that takes longer than a bound. */
    void await(BooleanSupplier condition, long maxMs, String expectation)
            throws InterruptedException {
        long startMs = timeSource.monotonicMs();
        while (!condition.getAsBoolean()) {
            assertTrue(
                    timeSource.monotonicMs() - startMs < maxMs,
                    "not within " + maxMs + " ms: " + expectation + "; voters " + voters());
            advanceOneStep();
        }
    }

    void drain(String dataCentre) throws Exception {
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

    List<String> drainedDataCentres() throws Exception {
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
            advanceOneStep();
        }
        return future.get(1, TimeUnit.SECONDS);
    }
}
