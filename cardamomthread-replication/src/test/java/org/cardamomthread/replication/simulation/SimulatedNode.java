package org.cardamomthread.replication.simulation;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicationException;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.ReplicationTransport;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.runtime.ReplicaDriver;
import org.cardamomthread.replication.storage.InMemoryLogStorage;
import org.cardamomthread.replication.storage.StorageFaultInjector;

/**
 * Simulates a node whose replica can crash at any storage step, be suspended or lose its folder.
 */
final class SimulatedNode implements RecordingStateMachine.Listener {

    static final GroupId GROUP = new GroupId("test");

    private final NodeId id;
    private final ReplicationSettings settings;
    private final SplittableRandom random;
    private final ClusterInvariants invariants;
    private final ReplicationTransport transport;
    private final TimeSource clock;
    private final List<SimulatedNetwork.Packet> receivedPackets = new ArrayList<>();
    private RecordingStateMachine stateMachine;
    private InMemoryLogStorage storage;
    private ReplicaDriver driver;
    private List<NodeId> contacts = List.of();
    private boolean isSuspended;
    private int folderCount;
    private int crashCount;
    private int storageStepsUntilCrash = -1;

    SimulatedNode(
            NodeId id,
            ReplicationSettings settings,
            SplittableRandom random,
            ClusterInvariants invariants,
            ReplicationTransport transport,
            LongSupplier simulatedTimeMs) {
        this.id = id;
        this.settings = settings;
        this.random = random;
        this.invariants = invariants;
        this.transport = transport;
        double driftRatio = settings.maxClockDriftRatio() * (random.nextDouble() * 2 - 1);
        long offsetMs = random.nextLong(100_000);
        this.clock = new DriftingClock(simulatedTimeMs, 1 + driftRatio, offsetMs);
        loseFolder();
    }

    /** Clock with a constant rate that differs from simulated time. */
    private record DriftingClock(LongSupplier simulatedTimeMs, double rate, long offsetMs)
            implements TimeSource {
        @Override
        public Instant instant() {
            return Instant.EPOCH;
        }

        @Override
        public long monotonicMs() {
            return (long) (offsetMs + simulatedTimeMs.getAsLong() * rate);
        }
    }

    NodeId id() {
        return id;
    }

    VoterId voterId() {
        return new VoterId(id + "-" + folderCount);
    }

    int crashCount() {
        return crashCount;
    }

    int lostFolderCount() {
        return folderCount - 1;
    }

    boolean isRunning() {
        return driver != null;
    }

    boolean isActive() {
        return driver != null && !isSuspended;
    }

    TreeMap<Long, String> appliedCommands() {
        return stateMachine.commands();
    }

    void start() {
        stateMachine = new RecordingStateMachine(this);
        driver =
                new ReplicaDriver(
                        GROUP, id, settings, storage, stateMachine, transport, clock, random);
        try {
            driver.open();
            driver.setContacts(contacts);
        } catch (StorageException e) {
            throw new AssertionError(e);
        }
        storageStepsUntilCrash = -1;
    }

    /** Sets the nodes that this node asks for admission after its next start. */
    void setContacts(List<NodeId> nodes) {
        contacts = nodes;
    }

    void crash() {
        if (driver != null) {
            driver.close("crashed");
            storage.simulateCrash(random);
            crashCount++;
        }
        driver = null;
        isSuspended = false;
        receivedPackets.clear();
    }

    void loseFolder() {
        crash();
        folderCount++;
        storage = new InMemoryLogStorage(voterId(), this::beforeStep);
    }

    void crashAfterStorageSteps(int steps) {
        storageStepsUntilCrash = steps;
    }

    private void beforeStep(StorageFaultInjector.Step step) throws StorageException {
        if (storageStepsUntilCrash >= 0 && storageStepsUntilCrash-- == 0) {
            throw new StorageException("simulated crash at storage step " + step);
        }
    }

    void suspend() {
        isSuspended = true;
    }

    void resume() {
        isSuspended = false;
    }

    void receive(SimulatedNetwork.Packet packet) {
        if (isRunning()) {
            receivedPackets.add(packet);
        }
    }

    void processInputs() {
        if (!isActive()) {
            return;
        }
        try {
            driver.tick();
            receivedPackets.forEach(packet -> driver.receive(packet.from(), packet.message()));
            receivedPackets.clear();
            driver.flush();
        } catch (StorageException e) {
            crash();
        }
    }

    ReplicationStatus status() {
        return driver.status();
    }

    void propose(String command) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        future.whenComplete(
                (result, failure) -> {
                    if (result != null) {
                        invariants.onAcknowledged(command, ByteBuffer.wrap(result).getLong());
                    } else if (((ReplicationException) failure).isGuaranteedNotAppended()) {
                        invariants.onNotAppended(command);
                    }
                });
        driver.propose(command.getBytes(StandardCharsets.UTF_8), future);
    }

    void read() {
        long minIndex = invariants.highestAcknowledgedIndex();
        CompletableFuture<Long> future = new CompletableFuture<>();
        future.thenAccept(index -> invariants.onRead(minIndex, index));
        driver.readBarrier(future);
    }

    /** Proposes the next membership change of another node: adds, promotes or removes it. */
    void advanceMembershipOf(SimulatedNode other) {
        CompletableFuture<byte[]> ignored = new CompletableFuture<>();
        boolean isMember =
                status().members().stream().anyMatch(m -> m.voterId().equals(other.voterId()));
        if (!isMember) {
            driver.addLearner(other.voterId(), other.id(), ignored);
        } else if (random.nextBoolean()) {
            driver.promote(other.voterId(), ignored);
        } else {
            driver.remove(other.voterId(), ignored);
        }
    }

    @Override
    public void onApplied(long index, String command) {
        invariants.onApplied(index, command);
    }

    @Override
    public void onRestored(TreeMap<Long, String> state) {
        invariants.onRestored(state);
    }
}
