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
final class Leadership {

    private final ReplicaContext context;
    private final EntrySender sender;
    private final Map<VoterId, Progress> progress = new LinkedHashMap<>();
    private final long startedMs;
    private final long firstIndex;

    /** Begins the term with an empty entry, whose commit also commits all earlier ones. */
    Leadership(ReplicaContext context) {
        this.context = context;
        this.sender = new EntrySender(context);
        this.startedMs = context.nowMs();
        followMembers();
        this.firstIndex = append(EntryKind.NO_OPERATION, ByteString.EMPTY);
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
            followMembers();
        }
        return index;
    }

    private void followMembers() {
        List<ReplicaMember> members = context.log().members().list();
        Map<VoterId, Progress> former = new LinkedHashMap<>(progress);
        progress.clear();
        for (ReplicaMember member : members) {
            if (!member.voterId().equals(context.self().voterId())) {
                Progress known = former.get(member.voterId());
                progress.put(
                        member.voterId(),
                        known != null
                                ? known
                                : new Progress(member, context.log().lastIndex() + 1));
            }
        }
    }

    /** Tells whether an entry of this term is committed, so that the commit index is current. */
    boolean isEstablished() {
        return context.commitIndex() >= firstIndex;
    }

    boolean isMembershipSettled() {
        return isEstablished() && context.commitIndex() >= context.log().membersIndex();
    }

    /** Tells whether this replica may remain leader. */
    boolean isSupported() {
        boolean isRemoved = isMembershipSettled() && !context.isVoter();
        long contactMs = Math.max(quorumSentAtMs(), startedMs);
        return !isRemoved && context.nowMs() - contactMs < context.settings().electionTimeoutMs();
    }

    long leaseRemainingMs() {
        if (!isEstablished()) {
            return 0;
        }
        long endMs = quorumSentAtMs() + context.settings().leaseMs();
        return Math.max(0, endMs - context.nowMs());
    }

    private long quorumSentAtMs() {
        return quorumValue(context.nowMs(), Progress::ackedSentAtMs);
    }

    /** Returns the highest value that a majority of voters has reached. */
    private long quorumValue(long own, ToLongFunction<Progress> value) {
        List<Long> values =
                context.log().members().voters().stream()
                        .map(ReplicaMember::voterId)
                        .map(id -> progress.containsKey(id) ? value.applyAsLong(of(id)) : own)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return values.isEmpty() ? Progress.NEVER_MS : values.get(values.size() / 2);
    }

    Progress of(VoterId voterId) {
        return progress.get(voterId);
    }

    boolean isActive(VoterId voterId) {
        Progress member = of(voterId);
        return member == null
                || context.nowMs() - member.ackedSentAtMs()
                        < context.settings().electionTimeoutMs();
    }

    /** Returns the index after which entries are still to be sent to members that answer. */
    long neededIndex() {
        return progress.values().stream()
                .filter(member -> isActive(member.member().voterId()))
                .mapToLong(Progress::neededIndex)
                .min()
                .orElse(context.log().lastIndex());
    }

    boolean isSendingSnapshot() {
        return progress.values().stream().anyMatch(p -> p.mode() == Progress.Mode.SNAPSHOT);
    }

    void tick() {
        for (Progress member : progress.values()) {
            if (context.nowMs() - member.lastSentMs() >= context.settings().heartbeatMs()) {
                sender.heartbeat(member);
            }
        }
    }

    void flush() {
        Collection<Progress> members = progress.values();
        members.forEach(sender::flush);
    }

    void onAppendResponse(VoterId from, AppendResponse response) {
        Progress member = of(from);
        if (member == null) {
            return;
        }
        member.noteAnswer(response.getSentAtMs());
        if (response.getAccepted()) {
            member.noteMatch(response.getMatchIndex());
            advanceCommit();
        } else {
            member.noteMismatch(response.getHintIndex());
        }
    }

    void onSnapshotResponse(VoterId from, SnapshotResponse response) {
        Progress member = of(from);
        if (member == null) {
            return;
        }
        member.noteAnswer(response.getSentAtMs());
        if (response.getInstalled()) {
            member.noteMatch(response.getIndex());
            advanceCommit();
        } else if (member.mode() == Progress.Mode.SNAPSHOT
                && response.getIndex() == member.snapshotIndex()) {
            member.noteChunk(response.getNextOffset());
        }
    }

    /** Raises the commit index as far as a majority of voters has synced entries. */
    void advanceCommit() {
        long index = quorumValue(context.log().syncedIndex(), Progress::matchIndex);
        if (index > context.commitIndex() && context.log().termAt(index) == context.term()) {
            context.raiseCommitIndex(index);
        }
    }
}
