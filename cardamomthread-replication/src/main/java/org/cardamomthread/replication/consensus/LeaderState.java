package org.cardamomthread.replication.consensus;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.AppendResponse;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.EntryKind;
import org.cardamomthread.replication.generated.SnapshotResponse;

/**
 * Holds the state of a leader during one term and advances the commit index and the lease.
 *
 * <p>Invariants: the commit index advances only to entries of this term that a majority of voters
 * has synced; the lease starts at the send time of messages to which a majority has responded. Not
 * thread-safe.
 */
final class LeaderState {

    private final ReplicaContext context;
    private final EntrySender sender;
    private final Map<VoterId, MemberProgress> progressByVoter = new LinkedHashMap<>();
    private final long startedMs;
    private final long firstIndexOfTerm;

    /** Starts the term with an empty entry; committing it also commits all earlier entries. */
    LeaderState(ReplicaContext context) {
        this.context = context;
        this.sender = new EntrySender(context);
        this.startedMs = context.nowMs();
        updateTrackedMembers();
        this.firstIndexOfTerm = append(EntryKind.NO_OPERATION, ByteString.EMPTY);
    }

    long append(EntryKind kind, ByteString data) {
        long index = context.log().lastIndex() + 1;
        context.log()
                .append(
                        Entry.newBuilder()
                                .setIndex(index)
                                .setTerm(context.term())
                                .setKind(kind)
                                .setData(data)
                                .build());
        if (kind == EntryKind.MEMBERSHIP) {
            updateTrackedMembers();
        }
        return index;
    }

    private void updateTrackedMembers() {
        List<ReplicaMember> members = context.log().membership().members();
        Map<VoterId, MemberProgress> previous = new LinkedHashMap<>(progressByVoter);
        progressByVoter.clear();
        for (ReplicaMember member : members) {
            if (!member.voterId().equals(context.self().voterId())) {
                MemberProgress existing = previous.get(member.voterId());
                progressByVoter.put(
                        member.voterId(),
                        existing != null
                                ? existing
                                : new MemberProgress(
                                        member, context.log().lastIndex() + 1, context.nowMs()));
            }
        }
    }

    /** Returns whether an entry of this term is committed, so that the commit index is current. */
    boolean hasCommittedInTerm() {
        return context.commitIndex() >= firstIndexOfTerm;
    }

    boolean isMembershipCommitted() {
        return hasCommittedInTerm() && context.commitIndex() >= context.log().membershipIndex();
    }

    /** Returns whether this replica is still a member and a majority responded in time. */
    boolean mayRemainLeader() {
        boolean isRemoved = isMembershipCommitted() && !context.isVoter();
        long contactMs = Math.max(quorumAcknowledgedSentAtMs(), startedMs);
        return !isRemoved && context.nowMs() - contactMs < context.settings().electionTimeoutMs();
    }

    long leaseRemainingMs() {
        if (!hasCommittedInTerm()) {
            return 0;
        }
        long endMs = quorumAcknowledgedSentAtMs() + context.settings().leaseMs();
        return Math.max(0, endMs - context.nowMs());
    }

    private long quorumAcknowledgedSentAtMs() {
        return majorityValue(context.nowMs(), MemberProgress::acknowledgedSentAtMs);
    }

    /**
     * Returns the highest value that a majority of voters has reached; {@code ownValue} stands for
     * this replica.
     */
    private long majorityValue(long ownValue, ToLongFunction<MemberProgress> value) {
        List<Long> values =
                context.log().membership().voters().stream()
                        .map(ReplicaMember::voterId)
                        .map(
                                id ->
                                        progressByVoter.containsKey(id)
                                                ? value.applyAsLong(progressOf(id))
                                                : ownValue)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return values.isEmpty() ? MemberProgress.NEVER_MS : values.get(values.size() / 2);
    }

    MemberProgress progressOf(VoterId voterId) {
        return progressByVoter.get(voterId);
    }

    boolean isRecentlyActive(VoterId voterId) {
        MemberProgress progress = progressOf(voterId);
        return progress == null
                || context.nowMs() - progress.acknowledgedSentAtMs()
                        < context.settings().electionTimeoutMs();
    }

    /** Returns whether a member has not responded for a time. */
    boolean isSilentFor(VoterId voterId, long durationMs) {
        MemberProgress progress = progressOf(voterId);
        return progress != null && context.nowMs() - progress.silentSinceMs() >= durationMs;
    }

    /** Returns the index after which the log must be retained for members that respond. */
    long retainAfterIndex() {
        return progressByVoter.values().stream()
                .filter(progress -> isRecentlyActive(progress.member().voterId()))
                .mapToLong(MemberProgress::retainAfterIndex)
                .min()
                .orElse(context.log().lastIndex());
    }

    boolean isSendingSnapshot() {
        return progressByVoter.values().stream()
                .anyMatch(progress -> progress.mode() == MemberProgress.Mode.SNAPSHOT);
    }

    void tick() {
        for (MemberProgress progress : progressByVoter.values()) {
            if (context.nowMs() - progress.lastSentMs() >= context.settings().heartbeatMs()) {
                sender.sendHeartbeat(progress);
            }
        }
    }

    void sendPendingEntries() {
        Collection<MemberProgress> allProgress = progressByVoter.values();
        allProgress.forEach(sender::sendPending);
    }

    void onAppendResponse(VoterId from, AppendResponse response) {
        MemberProgress progress = progressOf(from);
        if (progress == null) {
            return;
        }
        progress.recordResponse(response.getSentAtMs());
        if (response.getAccepted()) {
            progress.recordMatch(response.getMatchIndex());
            advanceCommitIndex();
        } else {
            progress.recordMismatch(response.getHintIndex());
        }
    }

    void onSnapshotResponse(VoterId from, SnapshotResponse response) {
        MemberProgress progress = progressOf(from);
        if (progress == null) {
            return;
        }
        progress.recordResponse(response.getSentAtMs());
        if (response.getInstalled()) {
            progress.recordMatch(response.getIndex());
            advanceCommitIndex();
        } else if (progress.mode() == MemberProgress.Mode.SNAPSHOT
                && response.getIndex() == progress.snapshotIndex()) {
            progress.recordSnapshotOffset(response.getNextOffset());
        }
    }

    /**
     * Advances the commit index to the last entry that a majority has synced, if it is of this
     * term.
     */
    void advanceCommitIndex() {
        long index = majorityValue(context.log().syncedIndex(), MemberProgress::matchIndex);
        if (index > context.commitIndex() && context.log().termAt(index) == context.term()) {
            context.advanceCommitIndexTo(index);
        }
    }
}
