package org.cardamomthread.replication.consensus;

import java.util.List;
import org.cardamomthread.replication.generated.AppendRequest;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.SnapshotChunk;
import org.cardamomthread.replication.generated.SnapshotHeader;

/** Sends entries, heartbeats and snapshot parts to members. Used by one thread at a time. */
final class EntrySender {

    private static final long MAX_UNACKNOWLEDGED_ENTRIES = 16_384;

    private final ReplicaContext context;

    EntrySender(ReplicaContext context) {
        this.context = context;
    }

    /** Sends what is due without regard to earlier messages, which may be lost. */
    void sendHeartbeat(MemberProgress member) {
        member.clearAwaitingResponse();
        if (member.mode() == MemberProgress.Mode.REPLICATE && isNextEntryInLog(member)) {
            sendEntries(member, List.of());
        } else {
            sendPending(member);
        }
    }

    /** Sends entries that the member lacks. */
    void sendPending(MemberProgress member) {
        if (member.mode() != MemberProgress.Mode.SNAPSHOT && !isNextEntryInLog(member)) {
            member.startSnapshot(context.log().snapshot().getIndex());
        }
        switch (member.mode()) {
            case SNAPSHOT -> sendSnapshotChunk(member);
            case PROBE -> probe(member);
            case REPLICATE -> replicate(member);
            default -> throw new IllegalStateException("unknown mode " + member.mode());
        }
    }

    private boolean isNextEntryInLog(MemberProgress member) {
        return member.nextIndex() > context.log().baseIndex();
    }

    private void probe(MemberProgress member) {
        if (!member.isAwaitingResponse()) {
            int maxBytes = context.settings().maxBatchBytes();
            sendEntries(member, context.log().entriesFrom(member.nextIndex(), maxBytes));
        }
    }

    private void replicate(MemberProgress member) {
        while (member.nextIndex() <= context.log().lastIndex()
                && member.nextIndex() - member.matchIndex() <= MAX_UNACKNOWLEDGED_ENTRIES) {
            int maxBytes = context.settings().maxBatchBytes();
            List<Entry> entries = context.log().entriesFrom(member.nextIndex(), maxBytes);
            sendEntries(member, entries);
            member.advanceNextIndex(member.nextIndex() + entries.size());
        }
    }

    private void sendEntries(MemberProgress member, List<Entry> entries) {
        long previousIndex = member.nextIndex() - 1;
        AppendRequest request =
                AppendRequest.newBuilder()
                        .setPreviousIndex(previousIndex)
                        .setPreviousTerm(context.log().termAt(previousIndex))
                        .setCommitIndex(context.commitIndex())
                        .setSentAtMs(context.nowMs())
                        .addAllEntries(entries)
                        .build();
        Envelope.Builder envelope =
                context.outbox().newEnvelope(member.member().voterId(), context.term());
        context.outbox()
                .queueImmediate(member.member().nodeId(), envelope.setAppendRequest(request));
        member.recordSend(context.nowMs());
    }

    private void sendSnapshotChunk(MemberProgress member) {
        SnapshotHeader header = context.log().snapshot();
        if (member.snapshotIndex() != header.getIndex()) {
            member.startSnapshot(header.getIndex());
        }
        if (member.isAwaitingResponse()) {
            return;
        }
        SnapshotChunk chunk =
                SnapshotChunk.newBuilder()
                        .setHeader(header)
                        .setOffset(member.snapshotOffset())
                        .setSentAtMs(context.nowMs())
                        .build();
        Envelope.Builder envelope =
                context.outbox().newEnvelope(member.member().voterId(), context.term());
        context.outbox()
                .queueSnapshotChunk(
                        member.member().nodeId(),
                        envelope.setSnapshotChunk(chunk),
                        context.settings().snapshotChunkBytes());
        member.recordSend(context.nowMs());
    }
}
