package org.cardamomthread.replication.consensus;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.hash.RandomSeeds;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.TermState;
import org.cardamomthread.replication.storage.RecoveredState;

/**
 * Holds the state that the components of one replica share: term, vote, role, log and timers.
 *
 * <p>Invariants: the term never decreases; within a term at most one candidate gets the vote; the
 * commit index never decreases; election timeouts are random independently of those of other
 * replicas, even if their generators have the same seed. Not thread-safe.
 */
final class ReplicaContext {

    private final ReplicaIdentity self;
    private final ReplicationSettings settings;
    private final RandomGenerator random;
    private final ReplicaLog log;
    private final Outbox outbox;
    private TermState termState;
    private boolean termStateChanged;
    private ReplicaRole role = ReplicaRole.FOLLOWER;
    private NodeId leader;
    private long commitIndex;
    private long nowMs;
    private long lastLeaderContactMs;
    private long electionDeadlineMs;

    ReplicaContext(
            ReplicaIdentity self,
            ReplicationSettings settings,
            RecoveredState recovered,
            RandomGenerator random,
            long nowMs) {
        this.self = self;
        this.settings = settings;
        this.random =
                new SplittableRandom(RandomSeeds.derive(self.voterId().value(), random.nextLong()));
        this.log = new ReplicaLog(recovered);
        this.outbox = new Outbox(self);
        this.termState = recovered.termState();
        this.commitIndex = recovered.snapshotHeader().getIndex();
        this.nowMs = nowMs;
        this.lastLeaderContactMs = nowMs;
        resetElectionDeadline();
    }

    ReplicaIdentity self() {
        return self;
    }

    ReplicationSettings settings() {
        return settings;
    }

    ReplicaLog log() {
        return log;
    }

    Outbox outbox() {
        return outbox;
    }

    long nowMs() {
        return nowMs;
    }

    void advanceTimeTo(long nowMs) {
        this.nowMs = Math.max(this.nowMs, nowMs);
    }

    long term() {
        return termState.getTerm();
    }

    ReplicaRole role() {
        return role;
    }

    void setRole(ReplicaRole role) {
        this.role = role;
    }

    Optional<NodeId> leader() {
        return Optional.ofNullable(leader);
    }

    void setLeader(NodeId leader) {
        this.leader = leader;
    }

    long commitIndex() {
        return commitIndex;
    }

    void advanceCommitIndexTo(long index) {
        commitIndex = Math.max(commitIndex, index);
    }

    boolean isVoter() {
        return log.membership().isVoter(self.voterId());
    }

    /**
     * Returns whether this replica may start an election. A voter whose removal is not yet
     * committed may still do so, because the other voters may need it to elect a leader.
     */
    boolean mayCampaign() {
        return isVoter() || log.membershipAt(commitIndex).isVoter(self.voterId());
    }

    boolean isUninitialized() {
        return term() == 0 && log.isEmpty();
    }

    /** Starts a later term, in which this replica has not voted yet. */
    void enterTerm(long term) {
        if (term <= term()) {
            throw new IllegalArgumentException(
                    "new term " + term + " must be greater than the current term " + term());
        }
        setTermState(TermState.newBuilder().setTerm(term).build());
        leader = null;
    }

    boolean mayVoteFor(VoterId candidate) {
        String votedFor = termState.getVotedFor();
        return votedFor.isEmpty() || votedFor.equals(candidate.value());
    }

    void recordVoteFor(VoterId candidate) {
        setTermState(termState.toBuilder().setVotedFor(candidate.value()).build());
    }

    private void setTermState(TermState changed) {
        termState = changed;
        termStateChanged = true;
    }

    Optional<TermState> takeChangedTermState() {
        boolean changed = termStateChanged;
        termStateChanged = false;
        return changed ? Optional.of(termState) : Optional.empty();
    }

    /** Records a message from the current leader, which postpones elections and votes. */
    void recordLeaderContact(NodeId from) {
        leader = from;
        lastLeaderContactMs = nowMs;
        resetElectionDeadline();
    }

    /** Returns whether no other replica can hold a lease that depends on this voter. */
    boolean mayGrantVote() {
        return role != ReplicaRole.LEADER
                && nowMs - lastLeaderContactMs >= settings.electionTimeoutMs();
    }

    boolean isElectionDue() {
        return nowMs >= electionDeadlineMs;
    }

    void resetElectionDeadline() {
        long timeoutMs = settings.electionTimeoutMs();
        electionDeadlineMs = nowMs + timeoutMs + random.nextLong(timeoutMs);
    }
}
