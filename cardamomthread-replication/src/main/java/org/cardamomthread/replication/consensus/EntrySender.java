package org.cardamomthread.replication.consensus;

import java.util.List;
import org.cardamomthread.replication.generated.AppendRequest;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.SnapshotChunk;
import org.cardamomthread.replication.generated.SnapshotHeader;

/** Sends entries, heartbeats and snapshot chunks to members. Not thread-safe. */
final class EntrySender {

    private static final long MAX_UNACKNOWLEDGED_ENTRIES = 16_384;

    /** Several times what is sent in one round trip; bounds the messages queued for a member. */
    private static final long MAX_UNACKNOWLEDGED_BYTES = 2 * 1024 * 1024;

    private final ReplicaContext context;

    EntrySender(ReplicaContext context) {
        this.context = context;
    }

    /** Sends a heartbeat, or resends a request whose predecessor may have been lost. */
    void sendHeartbeat(MemberProgress progress) {
        progress.clearAwaitingResponse();
        if (progress.mode() == MemberProgress.Mode.REPLICATE && isNextEntryInLog(progress)) {
            sendEntries(progress, List.of());
        } else {
            sendPending(progress);
        }
    }

    /** Sends entries or a snapshot chunk that the member lacks, unless it must respond first. */
    void sendPending(MemberProgress progress) {
        if (progress.mode() != MemberProgress.Mode.SNAPSHOT && !isNextEntryInLog(progress)) {
            progress.startSnapshotTransfer(context.log().snapshotHeader().getIndex());
        }
        switch (progress.mode()) {
            case SNAPSHOT -> sendSnapshotChunk(progress);
            case PROBE -> probe(progress);
            case REPLICATE -> replicate(progress);
            default -> throw new IllegalStateException("unknown progress mode " + progress.mode());
        }
    }

    private boolean isNextEntryInLog(MemberProgress progress) {
        return progress.nextIndex() > context.log().baseIndex();
    }

    private void probe(MemberProgress progress) {
        if (!progress.isAwaitingResponse()) {
            int maxBytes = context.settings().maxBatchBytes();
            sendEntries(progress, context.log().entriesFrom(progress.nextIndex(), maxBytes));
        }
    }

    private void replicate(MemberProgress progress) {
        while (progress.nextIndex() <= context.log().lastIndex()
                && progress.nextIndex() - progress.matchIndex() <= MAX_UNACKNOWLEDGED_ENTRIES
                && unacknowledgedBytes(progress) <= MAX_UNACKNOWLEDGED_BYTES) {
            int maxBytes = context.settings().maxBatchBytes();
            List<Entry> entries = context.log().entriesFrom(progress.nextIndex(), maxBytes);
            sendEntries(progress, entries);
            progress.advanceNextIndex(progress.nextIndex() + entries.size());
        }
    }

    private long unacknowledgedBytes(MemberProgress progress) {
        long afterIndex = Math.max(progress.matchIndex(), context.log().baseIndex());
        return context.log().bytesBetween(afterIndex, progress.nextIndex() - 1);
    }

    private void sendEntries(MemberProgress progress, List<Entry> entries) {
        long previousIndex = progress.nextIndex() - 1;
        AppendRequest request =
                AppendRequest.newBuilder()
                        .setPreviousIndex(previousIndex)
                        .setPreviousTerm(context.log().termAt(previousIndex))
                        .setCommitIndex(context.commitIndex())
                        .setSentAtMs(context.nowMs())
                        .addAllEntries(entries)
                        .build();
        Envelope.Builder envelope =
                context.outbox().newEnvelope(progress.member().voterId(), context.term());
        context.outbox()
                .queueImmediate(progress.member().nodeId(), envelope.setAppendRequest(request));
        progress.recordSend(context.nowMs());
    }

    private void sendSnapshotChunk(MemberProgress progress) {
        SnapshotHeader header = context.log().snapshotHeader();
        if (progress.snapshotIndex() != header.getIndex()) {
            progress.startSnapshotTransfer(header.getIndex());
        }
        if (progress.isAwaitingResponse()) {
            return;
        }
        SnapshotChunk chunk =
                SnapshotChunk.newBuilder()
                        .setHeader(header)
                        .setOffset(progress.snapshotOffset())
                        .setSentAtMs(context.nowMs())
                        .build();
        Envelope.Builder envelope =
                context.outbox().newEnvelope(progress.member().voterId(), context.term());
        context.outbox()
                .queueSnapshotChunk(
                        progress.member().nodeId(),
                        envelope.setSnapshotChunk(chunk),
                        context.settings().snapshotChunkBytes());
        progress.recordSend(context.nowMs());
    }
}
