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
 * Acts as leader in one term.
 *
 * <p>Invariants: the commit index rises only to entries of this term that a majority of voters has
 * synced; the lease counts from the sending of messages that a majority has answered. Used by one
 * thread at a time.
 */
final class LeaderState {

    private final ReplicaContext context;
    private final EntrySender sender;
    private final Map<VoterId, MemberProgress> progressByVoter = new LinkedHashMap<>();
    private final long startedMs;
    private final long firstIndexOfTerm;

    /** Begins the term with an empty entry, whose commit also commits all earlier ones. */
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
        Map<VoterId, MemberProgress> former = new LinkedHashMap<>(progressByVoter);
        progressByVoter.clear();
        for (ReplicaMember member : members) {
            if (!member.voterId().equals(context.self().voterId())) {
                MemberProgress known = former.get(member.voterId());
                progressByVoter.put(
                        member.voterId(),
                        known != null
                                ? known
                                : new MemberProgress(member, context.log().lastIndex() + 1));
            }
        }
    }

    /** Tells whether an entry of this term is committed, so that the commit index is current. */
    boolean hasCommittedInTerm() {
        return context.commitIndex() >= firstIndexOfTerm;
    }

    boolean isMembershipCommitted() {
        return hasCommittedInTerm() && context.commitIndex() >= context.log().membershipIndex();
    }

    /** Tells whether this replica may remain leader. */
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

    /** Returns the highest value that a majority of voters has reached. */
    private long majorityValue(long own, ToLongFunction<MemberProgress> value) {
        List<Long> values =
                context.log().membership().voters().stream()
                        .map(ReplicaMember::voterId)
                        .map(
                                id ->
                                        progressByVoter.containsKey(id)
                                                ? value.applyAsLong(progressOf(id))
                                                : own)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return values.isEmpty() ? MemberProgress.NEVER_MS : values.get(values.size() / 2);
    }

    MemberProgress progressOf(VoterId voterId) {
        return progressByVoter.get(voterId);
    }

    boolean isRecentlyActive(VoterId voterId) {
        MemberProgress member = progressOf(voterId);
        return member == null
                || context.nowMs() - member.acknowledgedSentAtMs()
                        < context.settings().electionTimeoutMs();
    }

    /** Returns the index after which entries are still to be sent to members that answer. */
    long retainAfterIndex() {
        return progressByVoter.values().stream()
                .filter(member -> isRecentlyActive(member.member().voterId()))
                .mapToLong(MemberProgress::retainAfterIndex)
                .min()
                .orElse(context.log().lastIndex());
    }

    boolean isSendingSnapshot() {
        return progressByVoter.values().stream()
                .anyMatch(p -> p.mode() == MemberProgress.Mode.SNAPSHOT);
    }

    void tick() {
        for (MemberProgress member : progressByVoter.values()) {
            if (context.nowMs() - member.lastSentMs() >= context.settings().heartbeatMs()) {
                sender.sendHeartbeat(member);
            }
        }
    }

    void sendPendingEntries() {
        Collection<MemberProgress> members = progressByVoter.values();
        members.forEach(sender::sendPending);
    }

    void onAppendResponse(VoterId from, AppendResponse response) {
        MemberProgress member = progressOf(from);
        if (member == null) {
            return;
        }
        member.recordResponse(response.getSentAtMs());
        if (response.getAccepted()) {
            member.recordMatch(response.getMatchIndex());
            advanceCommitIndex();
        } else {
            member.recordMismatch(response.getHintIndex());
        }
    }

    void onSnapshotResponse(VoterId from, SnapshotResponse response) {
        MemberProgress member = progressOf(from);
        if (member == null) {
            return;
        }
        member.recordResponse(response.getSentAtMs());
        if (response.getInstalled()) {
            member.recordMatch(response.getIndex());
            advanceCommitIndex();
        } else if (member.mode() == MemberProgress.Mode.SNAPSHOT
                && response.getIndex() == member.snapshotIndex()) {
            member.recordSnapshotOffset(response.getNextOffset());
        }
    }

    /** Raises the commit index as far as a majority of voters has synced entries. */
    void advanceCommitIndex() {
        long index = majorityValue(context.log().syncedIndex(), MemberProgress::matchIndex);
        if (index > context.commitIndex() && context.log().termAt(index) == context.term()) {
            context.raiseCommitIndex(index);
        }
    }
}
