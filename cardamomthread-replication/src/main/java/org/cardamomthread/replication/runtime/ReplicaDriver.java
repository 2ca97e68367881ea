package org.cardamomthread.replication.runtime;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.MembershipChangeException;
import org.cardamomthread.replication.NotLeaderException;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.replication.ReplicationException;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.ReplicationTransport;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.consensus.LogPosition;
import org.cardamomthread.replication.consensus.OutgoingReplicaMessage;
import org.cardamomthread.replication.consensus.OutgoingSnapshotChunk;
import org.cardamomthread.replication.consensus.ReceivedSnapshot;
import org.cardamomthread.replication.consensus.Replica;
import org.cardamomthread.replication.consensus.ReplicaIdentity;
import org.cardamomthread.replication.consensus.ReplicaOutput;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.EntryKind;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.JoinRequest;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.storage.Checksums;
import org.cardamomthread.replication.storage.LogStorage;
import org.cardamomthread.replication.storage.RecoveredState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes the output of a {@link Replica}: persists, sends and applies it, and takes snapshots.
 *
 * <p>The effects of inputs are collected until {@link #flush()}, which syncs them together. After
 * an exception the driver must be closed, and can then be opened again.
 *
 * <p>Invariant: the state machine never returns to an earlier state; it keeps what it has applied
 * while the storage is opened again. Not thread-safe.
 */
public final class ReplicaDriver {

    private static final Logger LOG = LoggerFactory.getLogger(ReplicaDriver.class);

    /** Snapshot intervals to wait before a snapshot that is being transferred is replaced. */
    private static final int SNAPSHOT_INTERVALS_DURING_TRANSFER = 4;

    private final GroupId groupId;
    private final NodeId nodeId;
    private final ReplicationSettings settings;
    private final LogStorage storage;
    private final StateMachine stateMachine;
    private final ReplicationTransport transport;
    private final TimeSource timeSource;
    private final RandomGenerator random;
    private final PendingProposals pendingProposals;
    private final List<CompletableFuture<Long>> pendingReads = new ArrayList<>();
    private List<NodeId> contacts = List.of();
    private Replica replica;
    private long appliedIndex;
    private long snapshotIndex;
    private long appliedBytesSinceSnapshot;

    /**
     * Creates a driver; {@link #open()} must be called first.
     *
     * @param groupId the group that the replica belongs to
     * @param nodeId the node that runs the replica
     * @param settings the settings of the group
     * @param storage the storage, not open yet; closed by {@link #close}
     * @param stateMachine the state machine to which committed commands are applied
     * @param transport sends messages to other nodes
     * @param timeSource the monotonic clock for timeouts and the lease
     * @param random source of the random part of election timeouts
     */
    public ReplicaDriver(
            GroupId groupId,
            NodeId nodeId,
            ReplicationSettings settings,
            LogStorage storage,
            StateMachine stateMachine,
            ReplicationTransport transport,
            TimeSource timeSource,
            RandomGenerator random) {
        this.groupId = groupId;
        this.nodeId = nodeId;
        this.settings = settings;
        this.storage = storage;
        this.stateMachine = stateMachine;
        this.transport = transport;
        this.timeSource = timeSource;
        this.random = random;
        this.pendingProposals = new PendingProposals(groupId);
    }

    /**
     * Opens the storage and restores the state machine from its snapshot, unless the state machine
     * has already applied more.
     *
     * @throws StorageException if the storage is corrupt, unreadable or belongs to another node or
     *     group
     */
    public void open() throws StorageException {
        RecoveredState recovered = storage.open(groupId, nodeId);
        SnapshotHeader header = recovered.snapshotHeader();
        if (header.getIndex() > appliedIndex) {
            stateMachine.restore(storage.readSnapshot(0, (int) header.getSizeBytes()));
            appliedIndex = header.getIndex();
        }
        snapshotIndex = header.getIndex();
        appliedBytesSinceSnapshot = 0;
        ReplicaIdentity self = new ReplicaIdentity(groupId, nodeId, recovered.voterId());
        replica = new Replica(self, settings, recovered, random, nowMs());
        replica.setContacts(contacts);
    }

    /**
     * Sets the nodes that are asked for admission while this replica is not a member.
     *
     * @param nodes nodes that are presumed to be members, or to know the leader
     */
    public void setContacts(List<NodeId> nodes) {
        contacts = nodes;
        replica.setContacts(nodes);
    }

    private long nowMs() {
        return timeSource.monotonicMs();
    }

    /** Advances the timers of the replica to the current time. */
    public void tick() {
        replica.tick(nowMs());
    }

    /**
     * Processes a message. A message that is malformed or names another sender is dropped.
     *
     * @param from the sending node, as authenticated by the transport
     * @param message the serialized protocol message
     */
    public void receive(NodeId from, byte[] message) {
        Envelope envelope;
        try {
            envelope = Envelope.parseFrom(message);
        } catch (InvalidProtocolBufferException e) {
            LOG.warn("Group {}: dropped a malformed message from node {}", groupId, from);
            return;
        }
        if (!envelope.getFromNode().equals(from.value()) || !hasValidIds(envelope)) {
            LOG.warn(
                    "Group {}: dropped a message from node {} with wrong identifiers",
                    groupId,
                    from);
            return;
        }
        replica.receive(envelope, nowMs());
    }

    private static boolean hasValidIds(Envelope envelope) {
        JoinRequest join = envelope.getJoinRequest();
        return Identifiers.isValid(envelope.getFromVoter())
                && (!envelope.hasJoinRequest()
                        || Identifiers.isValid(join.getVoterId())
                                && Identifiers.isValid(join.getNodeId()));
    }

    /**
     * Proposes a command.
     *
     * @param command the command in the encoding of the state machine
     * @param future completed with the result of the state machine, or exceptionally
     */
    public void propose(byte[] command, CompletableFuture<byte[]> future) {
        append(() -> replica.propose(command, nowMs()), future);
    }

    /**
     * Adds a learner.
     *
     * @param voterId the identity of the learner's data folder
     * @param member the node that holds the folder
     * @param future completed once the change is committed, or exceptionally
     */
    public void addLearner(VoterId voterId, NodeId member, CompletableFuture<byte[]> future) {
        append(() -> replica.addLearner(voterId, member, nowMs()), future);
    }

    /**
     * Promotes a caught-up learner to a voter.
     *
     * @param voterId the learner's identity
     * @param future completed once the change is committed, or exceptionally
     */
    public void promote(VoterId voterId, CompletableFuture<byte[]> future) {
        append(() -> replica.promote(voterId, nowMs()), future);
    }

    /**
     * Removes a voter or learner.
     *
     * @param voterId the member's identity
     * @param future completed once the change is committed, or exceptionally
     */
    public void remove(VoterId voterId, CompletableFuture<byte[]> future) {
        append(() -> replica.remove(voterId, nowMs()), future);
    }

    private void append(AppendAction action, CompletableFuture<byte[]> future) {
        try {
            pendingProposals.add(action.run(), future);
        } catch (NotLeaderException | ReplicaUnavailableException | MembershipChangeException e) {
            future.completeExceptionally(e);
        }
    }

    /** Appends an entry to the replica's log. */
    @FunctionalInterface
    private interface AppendAction {
        LogPosition run()
                throws NotLeaderException, ReplicaUnavailableException, MembershipChangeException;
    }

    /**
     * Registers a linearizable read, which a later {@link #flush()} completes.
     *
     * @param future completed with the applied index once the state is current, or exceptionally
     */
    public void readBarrier(CompletableFuture<Long> future) {
        pendingReads.add(future);
    }

    /**
     * Processes all output that the inputs have caused, then completes proposals and reads.
     *
     * @throws StorageException if the storage failed; the replica must stop
     */
    public void flush() throws StorageException {
        ReplicaOutput output = replica.takeOutput();
        while (!output.isEmpty()) {
            process(output);
            replica.markPersisted();
            output = replica.takeOutput();
        }
        saveSnapshotIfDue();
        completePending();
    }

    private void process(ReplicaOutput output) throws StorageException {
        send(output.immediateMessages());
        for (OutgoingSnapshotChunk chunk : output.snapshotChunks()) {
            sendSnapshotChunk(chunk);
        }
        if (output.receivedSnapshot().isPresent()) {
            installSnapshot(output.receivedSnapshot().get());
        }
        if (output.termState().isPresent()) {
            storage.writeTermState(output.termState().get());
        }
        if (!output.entriesToAppend().isEmpty()) {
            storage.append(output.entriesToAppend());
        }
        if (output.requiresSync()) {
            storage.sync();
        }
        send(output.messagesAfterSync());
        output.committedEntries().forEach(this::apply);
    }

    private void send(List<OutgoingReplicaMessage> messages) {
        for (OutgoingReplicaMessage message : messages) {
            transport.send(message.to(), message.message().toByteArray());
        }
    }

    private void sendSnapshotChunk(OutgoingSnapshotChunk chunk) throws StorageException {
        Envelope.Builder envelope = chunk.message().message().toBuilder();
        long offset = envelope.getSnapshotChunk().getOffset();
        byte[] data = storage.readSnapshot(offset, chunk.maxDataBytes());
        envelope.getSnapshotChunkBuilder().setData(ByteString.copyFrom(data));
        transport.send(chunk.message().to(), envelope.build().toByteArray());
    }

    private void installSnapshot(ReceivedSnapshot snapshot) throws StorageException {
        byte[] state = snapshot.state().toByteArray();
        storage.installSnapshot(snapshot.header(), state);
        snapshotIndex = snapshot.header().getIndex();
        if (snapshotIndex > appliedIndex) {
            stateMachine.restore(state);
            appliedIndex = snapshotIndex;
        }
        appliedBytesSinceSnapshot = 0;
    }

    private void apply(Entry entry) {
        appliedBytesSinceSnapshot += entry.getData().size();
        if (entry.getIndex() <= appliedIndex) {
            return;
        }
        byte[] result = null;
        if (entry.getKind() == EntryKind.COMMAND) {
            result = stateMachine.apply(entry.getIndex(), entry.getData().toByteArray());
        }
        appliedIndex = entry.getIndex();
        pendingProposals.complete(entry, result);
    }

    private void saveSnapshotIfDue() throws StorageException {
        long intervals =
                Math.max(
                        (appliedIndex - snapshotIndex) / settings.snapshotIntervalEntries(),
                        appliedBytesSinceSnapshot / settings.snapshotIntervalBytes());
        if (intervals < (replica.isSendingSnapshot() ? SNAPSHOT_INTERVALS_DURING_TRANSFER : 1)
                || !replica.hasCommitted(appliedIndex)) {
            return;
        }
        byte[] state = stateMachine.snapshot();
        SnapshotHeader header =
                replica.snapshotHeader(appliedIndex).toBuilder()
                        .setSizeBytes(state.length)
                        .setChecksum(Checksums.crc32c(state))
                        .build();
        storage.saveSnapshot(header, state);
        replica.compactLog(header);
        snapshotIndex = appliedIndex;
        appliedBytesSinceSnapshot = 0;
    }

    private void completePending() {
        if (!pendingProposals.isEmpty() && !replica.isLeaderOf(pendingProposals.latestTerm())) {
            pendingProposals.failAll("this node is no longer the leader");
        }
        List<CompletableFuture<Long>> reads = new ArrayList<>(pendingReads);
        pendingReads.clear();
        for (CompletableFuture<Long> read : reads) {
            completeReadIfReady(read);
        }
    }

    private void completeReadIfReady(CompletableFuture<Long> read) {
        try {
            Optional<Long> index = replica.readIndex(nowMs());
            if (index.isPresent() && index.get() <= appliedIndex) {
                read.complete(appliedIndex);
            } else {
                pendingReads.add(read);
            }
        } catch (NotLeaderException e) {
            read.completeExceptionally(e);
        }
    }

    /**
     * Returns the status of the replica.
     *
     * @return the status at the current time, without a failure
     */
    public ReplicationStatus status() {
        return replica.status(appliedIndex, nowMs());
    }

    /**
     * Fails all pending proposals and reads, and closes the storage, which {@link #open()} opens
     * again.
     *
     * @param reason the reason reported for proposals whose outcome is unknown
     */
    public void close(String reason) {
        pendingProposals.failAll(reason);
        ReplicationException failure = new NotLeaderException(groupId, null);
        pendingReads.forEach(read -> read.completeExceptionally(failure));
        pendingReads.clear();
        storage.close();
    }
}
