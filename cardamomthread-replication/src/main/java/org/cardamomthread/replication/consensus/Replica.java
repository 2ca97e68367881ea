package org.cardamomthread.replication.consensus;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.MembershipChangeException;
import org.cardamomthread.replication.NotLeaderException;
import org.cardamomthread.replication.ReplicaRole;
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
 * Decides what one replica does: inputs and the time go in, a {@link ReplicaOutput} comes out.
 *
 * <p>The protocol is of the Raft family, with preliminary votes, a check of the leader's quorum, a
 * leader lease and membership changes of one member at a time. Each input first takes the time into
 * account, so that a leader that was suspended steps down before it does anything else.
 *
 * <p>Contract of the driver: after inputs it takes the output, carries it out in the stated order,
 * then calls {@link #markPersisted()}, and repeats that until the output is empty. Used by one
 * thread at a time.
 */
public final class Replica {

    /** Entries kept behind a snapshot, as a share of the interval between snapshots. */
    private static final int RETAINED_INTERVAL_DIVISOR = 4;

    /** Most entries that a leader keeps for members that lag behind, in intervals. */
    private static final int MAX_RETAINED_INTERVALS = 8;

    private final ReplicaContext context;
    private final ElectionManager electionManager;
    private final FollowerState followerState;
    private final GroupBootstrapper bootstrapper;
    private LeaderState leaderState;
    private MembershipChanges membershipChanges;
    private long deliveredIndex;

    /**
     * Creates a replica from what its storage holds.
     *
     * @param self the names of the replica
     * @param settings the settings
     * @param recovered what the storage holds
     * @param random spreads election timeouts
     * @param nowMs monotonic time
     */
    public Replica(
            ReplicaIdentity self,
            ReplicationSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowMs) {
        this.context = new ReplicaContext(self, settings, recovered, random, nowMs);
        this.electionManager = new ElectionManager(context);
        this.followerState = new FollowerState(context);
        this.bootstrapper = new GroupBootstrapper(context);
        this.deliveredIndex = recovered.snapshot().getIndex();
    }

    /**
     * Takes the passing of time into account.
     *
     * @param nowMs monotonic time
     */
    public void tick(long nowMs) {
        context.advanceTimeTo(nowMs);
        if (leaderState != null && !leaderState.mayRemainLeader()) {
            stepDown();
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
     * Takes a message.
     *
     * @param message the message
     * @param nowMs monotonic time
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
        boolean isAddressed = message.getToVoter().equals(context.self().voterId().value());
        boolean isOpen = message.hasIdentityRequest() || message.hasJoinRequest();
        return message.getGroupId().equals(context.self().groupId().value())
                && (isAddressed || isOpen);
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
            stepDown();
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
                // A later release may add kinds of messages that this one does not know.
            }
        }
    }

    /** Tells a deposed leader or candidate of the current term. */
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
                    "term " + context.term() + " must have one leader, not also " + leaderNode);
        }
        context.setRole(ReplicaRole.FOLLOWER);
        context.recordLeaderContact(leaderNode);
    }

    private void becomeLeader() {
        context.setRole(ReplicaRole.LEADER);
        context.setLeader(context.self().nodeId());
        leaderState = new LeaderState(context);
        membershipChanges = new MembershipChanges(context, leaderState);
    }

    private void stepDown() {
        if (leaderState != null) {
            context.setLeader(null);
            context.resetElectionDeadline();
        }
        leaderState = null;
        membershipChanges = null;
        context.setRole(ReplicaRole.FOLLOWER);
    }

    /**
     * Appends a command.
     *
     * @param command the command
     * @param nowMs monotonic time
     * @return where it stands in the log, if it is committed there
     * @throws NotLeaderException if this replica is not the leader
     */
    public LogPosition propose(byte[] command, long nowMs) throws NotLeaderException {
        requireLeadership(nowMs);
        long index = leaderState.append(EntryKind.COMMAND, ByteString.copyFrom(command));
        return new LogPosition(index, context.term());
    }

    /**
     * Finds the index that a read must wait for.
     *
     * @param nowMs monotonic time
     * @return the index, or empty while the lease is not held yet
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
     * @param voterId the identity of its folder
     * @param nodeId its node
     * @param nowMs monotonic time
     * @return where the change stands in the log
     * @throws NotLeaderException if this replica is not the leader
     * @throws MembershipChangeException if the change is refused
     */
    public LogPosition addLearner(VoterId voterId, NodeId nodeId, long nowMs)
            throws NotLeaderException, MembershipChangeException {
        requireLeadership(nowMs);
        return new LogPosition(membershipChanges.addLearner(voterId, nodeId), context.term());
    }

    /**
     * Makes a learner a voter.
     *
     * @param voterId the learner
     * @param nowMs monotonic time
     * @return where the change stands in the log
     * @throws NotLeaderException if this replica is not the leader
     * @throws MembershipChangeException if the change is refused
     */
    public LogPosition promote(VoterId voterId, long nowMs)
            throws NotLeaderException, MembershipChangeException {
        requireLeadership(nowMs);
        return new LogPosition(membershipChanges.promote(voterId), context.term());
    }

    /**
     * Removes a member.
     *
     * @param voterId the member
     * @param nowMs monotonic time
     * @return where the change stands in the log
     * @throws NotLeaderException if this replica is not the leader
     * @throws MembershipChangeException if the change is refused
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
     * Takes what has to be done.
     *
     * @return the output; the driver must carry it out
     */
    public ReplicaOutput takeOutput() {
        if (leaderState != null) {
            leaderState.sendPendingEntries();
        }
        Optional<ReceivedSnapshot> snapshot = followerState.takeReceivedSnapshot();
        if (snapshot.isPresent()) {
            deliveredIndex = Math.max(deliveredIndex, snapshot.get().header().getIndex());
        }
        List<Entry> committed = context.log().entriesBetween(deliveredIndex, context.commitIndex());
        deliveredIndex = context.commitIndex();
        Optional<TermState> termState = context.takeChangedTermState();
        List<OutgoingMessage> messages = context.outbox().takeImmediate();
        List<OutgoingMessage> messagesAfterSync = context.outbox().takeAfterSync();
        if (termState.isPresent()) {
            messagesAfterSync.addAll(messages);
            messages = List.of();
        }
        return new ReplicaOutput(
                messages,
                context.outbox().takeSnapshotChunks(),
                snapshot,
                termState,
                context.log().unsyncedEntries(),
                messagesAfterSync,
                committed);
    }

    /** Takes note that the last output has been synced. */
    public void markPersisted() {
        context.log().markSynced();
        if (leaderState != null) {
            leaderState.advanceCommitIndex();
        }
    }

    /**
     * Returns the header for a snapshot of the state after an applied entry, without its size and
     * checksum.
     *
     * @param index the index of the entry
     * @return the header
     */
    public SnapshotHeader snapshotHeader(long index) {
        return SnapshotHeader.newBuilder()
                .setIndex(index)
                .setTerm(context.log().termAt(index))
                .setMembership(context.log().membershipAt(index).toMessage())
                .build();
    }

    /**
     * Takes note of a saved snapshot.
     *
     * @param header its header
     */
    public void compactLog(SnapshotHeader header) {
        int interval = context.settings().snapshotEntries();
        long baseIndex = header.getIndex() - interval / RETAINED_INTERVAL_DIVISOR;
        if (leaderState != null) {
            long lowestIndex = header.getIndex() - (long) MAX_RETAINED_INTERVALS * interval;
            baseIndex = Math.min(baseIndex, Math.max(lowestIndex, leaderState.retainAfterIndex()));
        }
        context.log().compact(header, baseIndex);
    }

    /**
     * Tells whether this replica is the leader of a term.
     *
     * @param term the term
     * @return true if so
     */
    public boolean isLeaderOf(long term) {
        return leaderState != null && context.term() == term;
    }

    /**
     * Tells whether a member is being sent the snapshot, so that replacing it costs a new transfer.
     *
     * @return true if so
     */
    public boolean isSendingSnapshot() {
        return leaderState != null && leaderState.isSendingSnapshot();
    }

    /**
     * Shows the state.
     *
     * @param appliedIndex the index up to which the driver has applied entries
     * @param nowMs monotonic time
     * @return the state
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
                context.log().snapshot().getIndex(),
                context.log().membership().members(),
                Optional.empty());
    }
}
