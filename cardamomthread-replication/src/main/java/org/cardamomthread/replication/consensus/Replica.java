package org.cardamomthread.replication.consensus;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.MembershipChangeException;
import org.cardamomthread.replication.NotLeaderException;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.EntryKind;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.JoinRequest;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;
import org.cardamomthread.replication.storage.RecoveredState;

/**
 * Implements the consensus protocol of one replica: it consumes messages, proposals and the current
 * time, and produces a {@link ReplicaOutput}.
 *
 * <p>The protocol is a variant of Raft with preliminary votes, a quorum check by the leader, a
 * leader lease and membership changes of one member at a time. Each input is preceded by a {@link
 * #tick}, so that a leader whose process was suspended steps down before it does anything else.
 *
 * <p>After passing inputs, the caller must call {@link #takeOutput()}, process the output in the
 * order that {@link ReplicaOutput} states, call {@link #markPersisted()}, and repeat this until the
 * output is empty. Not thread-safe.
 */
public final class Replica {

    /** The log retains this fraction (one quarter) of a snapshot interval before a snapshot. */
    private static final int RETAINED_INTERVAL_DIVISOR = 4;

    /** Maximum number of entries that a leader retains for lagging members, in intervals. */
    private static final int MAX_RETAINED_INTERVALS = 8;

    /** Maximum size of the entries that a leader retains for lagging members, in intervals. */
    private static final int MAX_RETAINED_BYTE_INTERVALS = 4;

    /** Two of the largest commands, beside those that are committed meanwhile. */
    private static final long MAX_UNCOMMITTED_BYTES = 4 * 1024 * 1024;

    private final ReplicaContext context;
    private final ElectionLog electionLog;
    private final ElectionManager electionManager;
    private final FollowerState followerState;
    private final GroupBootstrapper bootstrapper;
    private LeaderState leaderState;
    private MembershipChanges membershipChanges;
    private long deliveredIndex;

    /**
     * Creates a replica from the state recovered by its storage. It starts as a follower.
     *
     * @param self the group, node and data folder of the replica
     * @param settings the settings of the group
     * @param recovered the term, snapshot and log read from storage
     * @param random source of the random part of election timeouts
     * @param nowMs the current monotonic time in milliseconds
     */
    public Replica(
            ReplicaIdentity self,
            ReplicationSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowMs) {
        this.context = new ReplicaContext(self, settings, recovered, random, nowMs);
        this.electionLog = new ElectionLog(context);
        this.electionManager = new ElectionManager(context, electionLog);
        this.followerState = new FollowerState(context);
        this.bootstrapper = new GroupBootstrapper(context);
        this.deliveredIndex = recovered.snapshotHeader().getIndex();
    }

    /**
     * Sets the nodes that are asked for admission while this replica is not a member.
     *
     * @param nodes nodes that are presumed to be members, or to know the leader
     */
    public void setContacts(List<NodeId> nodes) {
        bootstrapper.setContacts(nodes);
    }

    /**
     * Advances all timers: steps down without a quorum, sends heartbeats, starts elections.
     *
     * @param nowMs the current monotonic time in milliseconds
     */
    public void tick(long nowMs) {
        context.advanceTimeTo(nowMs);
        if (leaderState != null && !leaderState.mayRemainLeader()) {
            stepDown("no majority responded within the election timeout");
        }
        bootstrapper.tick();
        if (leaderState != null) {
            membershipChanges.tick();
            leaderState.tick();
        } else if (electionManager.tick()) {
            becomeLeader();
        }
    }

    /**
     * Processes a message from another replica. Messages for other groups or voters are ignored.
     *
     * @param message the message; its identifiers must be valid
     * @param nowMs the current monotonic time in milliseconds
     */
    public void receive(Envelope message, long nowMs) {
        tick(nowMs);
        if (!isForThisReplica(message)) {
            return;
        }
        VoterId from = new VoterId(message.getFromVoter());
        NodeId fromNode = new NodeId(message.getFromNode());
        switch (message.getBodyCase()) {
            case IDENTITY_REQUEST -> bootstrapper.onIdentityRequest(from, fromNode);
            case IDENTITY_RESPONSE ->
                    bootstrapper.onIdentityResponse(from, fromNode, message.getIdentityResponse());
            case JOIN_REQUEST -> onJoinRequest(from, message.getJoinRequest());
            case VOTE_REQUEST -> electionManager.onVoteRequest(from, fromNode, message);
            default -> receiveTermMessage(from, fromNode, message);
        }
    }

    private boolean isForThisReplica(Envelope message) {
        boolean isAddressedHere = message.getToVoter().equals(context.self().voterId().value());
        boolean allowsUnknownReceiver = message.hasIdentityRequest() || message.hasJoinRequest();
        return message.getGroupId().equals(context.self().groupId().value())
                && (isAddressedHere || allowsUnknownReceiver);
    }

    private void onJoinRequest(VoterId from, JoinRequest request) {
        if (leaderState != null) {
            membershipChanges.onJoinRequest(
                    new VoterId(request.getVoterId()), new NodeId(request.getNodeId()));
        } else if (request.getVoterId().equals(from.value()) && context.leader().isPresent()) {
            Envelope.Builder envelope = context.outbox().newEnvelope(null, context.term());
            context.outbox()
                    .queueAfterSync(context.leader().get(), envelope.setJoinRequest(request));
        }
    }

    private void receiveTermMessage(VoterId from, NodeId fromNode, Envelope message) {
        boolean isPreliminaryGrant =
                message.hasVoteResponse()
                        && message.getVoteResponse().getPreliminary()
                        && message.getVoteResponse().getGranted();
        if (message.getTerm() > context.term() && !isPreliminaryGrant) {
            context.enterTerm(message.getTerm());
            stepDown("node " + fromNode + " is in a later term");
        }
        if (message.getTerm() < context.term()) {
            rejectStaleTerm(from, fromNode, message);
            return;
        }
        switch (message.getBodyCase()) {
            case VOTE_RESPONSE -> onVoteResponse(from, message);
            case APPEND_REQUEST -> {
                becomeFollowerOf(fromNode);
                followerState.onAppendRequest(from, fromNode, message.getAppendRequest());
            }
            case SNAPSHOT_CHUNK -> {
                becomeFollowerOf(fromNode);
                followerState.onSnapshotChunk(from, fromNode, message.getSnapshotChunk());
            }
            case APPEND_RESPONSE -> {
                if (leaderState != null) {
                    leaderState.onAppendResponse(from, message.getAppendResponse());
                }
            }
            case SNAPSHOT_RESPONSE -> {
                if (leaderState != null) {
                    leaderState.onSnapshotResponse(from, message.getSnapshotResponse());
                }
            }
            default -> {
                // Ignored: a later release may send message types that are unknown here.
            }
        }
    }

    /**
     * Rejects a message from a leader of an earlier term, which thereby learns the current term.
     */
    private void rejectStaleTerm(VoterId from, NodeId fromNode, Envelope message) {
        if (message.hasAppendRequest() || message.hasSnapshotChunk()) {
            Envelope.Builder envelope = context.outbox().newEnvelope(from, context.term());
            envelope.getAppendResponseBuilder().setAccepted(false);
            context.outbox().queueAfterSync(fromNode, envelope);
        }
    }

    private void onVoteResponse(VoterId from, Envelope message) {
        if (electionManager.onVoteResponse(from, message)) {
            becomeLeader();
        }
    }

    private void becomeFollowerOf(NodeId leaderNode) {
        if (context.role() == ReplicaRole.LEADER) {
            throw new IllegalStateException(
                    "leader of term "
                            + context.term()
                            + " received a leader's message of the same term from node "
                            + leaderNode);
        }
        context.setRole(ReplicaRole.FOLLOWER);
        context.recordLeaderContact(leaderNode);
    }

    private void becomeLeader() {
        context.setRole(ReplicaRole.LEADER);
        context.setLeader(context.self().nodeId());
        electionLog.leaderElected();
        leaderState = new LeaderState(context);
        membershipChanges = new MembershipChanges(context, leaderState);
    }

    private void stepDown(String reason) {
        if (leaderState != null) {
            electionLog.leaderSteppedDown(reason);
            context.setLeader(null);
            context.resetElectionDeadline();
        }
        leaderState = null;
        membershipChanges = null;
        context.setRole(ReplicaRole.FOLLOWER);
    }

    /**
     * Appends a command to the log of this leader.
     *
     * @param command the command in the encoding of the state machine
     * @param nowMs the current monotonic time in milliseconds
     * @return the position of the entry; another leader may replace it before it is committed
     * @throws NotLeaderException if this replica is not the leader
     * @throws ReplicaUnavailableException if too many bytes wait for their commit; nothing is
     *     appended
     */
    public LogPosition propose(byte[] command, long nowMs)
            throws NotLeaderException, ReplicaUnavailableException {
        requireLeadership(nowMs);
        long uncommittedBytes =
                context.log().bytesBetween(context.commitIndex(), context.log().lastIndex());
        if (uncommittedBytes > MAX_UNCOMMITTED_BYTES) {
            throw new ReplicaUnavailableException(
                    context.self().groupId(),
                    uncommittedBytes
                            + " bytes of commands wait for their commit; the maximum is "
                            + MAX_UNCOMMITTED_BYTES
                            + "; retry later");
        }
        long index = leaderState.append(EntryKind.COMMAND, ByteString.copyFrom(command));
        return new LogPosition(index, context.term());
    }

    /**
     * Returns the index that must be applied before a linearizable read.
     *
     * @param nowMs the current monotonic time in milliseconds
     * @return the index, or empty if this leader does not hold the lease
     * @throws NotLeaderException if this replica is not the leader
     */
    public Optional<Long> readIndex(long nowMs) throws NotLeaderException {
        requireLeadership(nowMs);
        return leaderState.leaseRemainingMs() > 0
                ? Optional.of(context.commitIndex())
                : Optional.empty();
    }

    /**
     * Adds a learner.
     *
     * @param voterId the identity of the learner's data folder
     * @param nodeId the node that holds the folder
     * @param nowMs the current monotonic time in milliseconds
     * @return the position of the membership entry
     * @throws NotLeaderException if this replica is not the leader
     * @throws MembershipChangeException if the change is not allowed now; nothing is appended
     */
    public LogPosition addLearner(VoterId voterId, NodeId nodeId, long nowMs)
            throws NotLeaderException, MembershipChangeException {
        requireLeadership(nowMs);
        return new LogPosition(membershipChanges.addLearner(voterId, nodeId), context.term());
    }

    /**
     * Promotes a caught-up learner to a voter.
     *
     * @param voterId the learner's identity
     * @param nowMs the current monotonic time in milliseconds
     * @return the position of the membership entry
     * @throws NotLeaderException if this replica is not the leader
     * @throws MembershipChangeException if the change is not allowed now; nothing is appended
     */
    public LogPosition promote(VoterId voterId, long nowMs)
            throws NotLeaderException, MembershipChangeException {
        requireLeadership(nowMs);
        return new LogPosition(membershipChanges.promote(voterId), context.term());
    }

    /**
     * Removes a voter or learner.
     *
     * @param voterId the member's identity
     * @param nowMs the current monotonic time in milliseconds
     * @return the position of the membership entry
     * @throws NotLeaderException if this replica is not the leader
     * @throws MembershipChangeException if the change is not allowed now; nothing is appended
     */
    public LogPosition remove(VoterId voterId, long nowMs)
            throws NotLeaderException, MembershipChangeException {
        requireLeadership(nowMs);
        return new LogPosition(membershipChanges.remove(voterId), context.term());
    }

    private void requireLeadership(long nowMs) throws NotLeaderException {
        tick(nowMs);
        if (leaderState == null) {
            throw new NotLeaderException(context.self().groupId(), context.leader().orElse(null));
        }
    }

    /**
     * Returns the pending output and clears it.
     *
     * @return the output, which the caller must process before it calls {@link #markPersisted()}
     */
    public ReplicaOutput takeOutput() {
        if (leaderState != null) {
            leaderState.sendPendingEntries();
        }
        Optional<ReceivedSnapshot> receivedSnapshot = followerState.takeReceivedSnapshot();
        if (receivedSnapshot.isPresent()) {
            deliveredIndex = Math.max(deliveredIndex, receivedSnapshot.get().header().getIndex());
        }
        List<Entry> committedEntries =
                context.log().entriesBetween(deliveredIndex, context.commitIndex());
        deliveredIndex = context.commitIndex();
        Optional<TermState> termState = context.takeChangedTermState();
        List<OutgoingReplicaMessage> immediateMessages = context.outbox().takeImmediate();
        List<OutgoingReplicaMessage> messagesAfterSync = context.outbox().takeAfterSync();
        if (termState.isPresent()) {
            messagesAfterSync.addAll(immediateMessages);
            immediateMessages = List.of();
        }
        return new ReplicaOutput(
                immediateMessages,
                context.outbox().takeSnapshotChunks(),
                receivedSnapshot,
                termState,
                context.log().unsyncedEntries(),
                messagesAfterSync,
                committedEntries);
    }

    /** Records that the last output is durable, which may advance the commit index. */
    public void markPersisted() {
        context.log().markSynced();
        if (leaderState != null) {
            leaderState.advanceCommitIndex();
        }
    }

    /**
     * Returns the header of a snapshot of the state after an applied entry.
     *
     * @param index the index of the last entry that the snapshot includes
     * @return the header without size and checksum, which the caller must add
     */
    public SnapshotHeader snapshotHeader(long index) {
        return SnapshotHeader.newBuilder()
                .setIndex(index)
                .setTerm(context.log().termAt(index))
                .setMembership(context.log().membershipAt(index).toMessage())
                .build();
    }

    /**
     * Removes log entries that a saved snapshot makes unnecessary.
     *
     * @param header the header of the saved snapshot
     */
    public void compactLog(SnapshotHeader header) {
        int interval = context.settings().snapshotIntervalEntries();
        long intervalBytes = context.settings().snapshotIntervalBytes();
        ReplicaLog log = context.log();
        long retainedBaseIndex =
                Math.max(
                        header.getIndex() - interval / RETAINED_INTERVAL_DIVISOR,
                        log.firstIndexWithin(
                                header.getIndex(), intervalBytes / RETAINED_INTERVAL_DIVISOR));
        if (leaderState != null) {
            long lowestBaseIndex =
                    Math.max(
                            header.getIndex() - (long) MAX_RETAINED_INTERVALS * interval,
                            log.firstIndexWithin(
                                    header.getIndex(),
                                    MAX_RETAINED_BYTE_INTERVALS * intervalBytes));
            retainedBaseIndex =
                    Math.min(
                            retainedBaseIndex,
                            Math.max(lowestBaseIndex, leaderState.retainAfterIndex()));
        }
        context.log().compact(header, retainedBaseIndex);
    }

    /**
     * Returns whether this replica currently leads a term.
     *
     * @param term the term to compare with the current one
     * @return true if this replica is the leader and the term is current
     */
    public boolean isLeaderOf(long term) {
        return leaderState != null && context.term() == term;
    }

    /**
     * Returns whether this replica knows that an entry is committed. After the storage was opened
     * again, the state machine may be ahead of that.
     *
     * @param index the index of the entry
     * @return true if the entry and all earlier ones are committed
     */
    public boolean hasCommitted(long index) {
        return index <= context.commitIndex();
    }

    /**
     * Returns whether the current snapshot is being transferred. A new snapshot would restart the
     * transfer.
     *
     * @return true if this leader sends its snapshot to at least one member
     */
    public boolean isSendingSnapshot() {
        return leaderState != null && leaderState.isSendingSnapshot();
    }

    /**
     * Returns the status of this replica.
     *
     * @param appliedIndex the index of the last entry that the caller has applied
     * @param nowMs the current monotonic time in milliseconds
     * @return the status without a failure
     */
    public ReplicationStatus status(long appliedIndex, long nowMs) {
        tick(nowMs);
        ReplicaRole role = context.role();
        boolean isLearner = role == ReplicaRole.FOLLOWER && !context.isVoter();
        return new ReplicationStatus(
                context.self().groupId(),
                context.self().nodeId(),
                context.self().voterId(),
                isLearner ? ReplicaRole.LEARNER : role,
                context.term(),
                context.leader(),
                leaderState == null ? 0 : leaderState.leaseRemainingMs(),
                context.commitIndex(),
                appliedIndex,
                context.log().lastIndex(),
                context.log().snapshotHeader().getIndex(),
                context.log().membership().members(),
                Optional.empty());
    }
}
