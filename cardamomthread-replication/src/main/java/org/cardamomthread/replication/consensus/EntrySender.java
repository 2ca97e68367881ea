package org.cardamomthread.replication.consensus;

import java.util.List;
import org.cardamomthread.replication.generated.AppendRequest;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.SnapshotChunk;
import org.cardamomthread.replication.generated.SnapshotHeader;

/** Sends entries, heartbeats and snapshot parts to members. Used by one thread at a time. */
final class EntrySender {

    private static final long MAX_UNANSWERED_ENTRIES = 16_384;

    private final ReplicaContext context;

    EntrySender(ReplicaContext context) {
        this.context = context;
    }

    /** Sends what is due without regard to earlier messages, which may be lost. */
    void heartbeat(Progress member) {
        member.stopWaiting();
        if (member.mode() == Progress.Mode.REPLICATE && isInLog(member)) {
            sendEntries(member, List.of());
        } else {
            flush(member);
        }
    }

    /** Sends entries that the member lacks. */
    void flush(Progress member) {
        if (member.mode() != Progress.Mode.SNAPSHOT && !isInLog(member)) {
            member.startSnapshot(context.log().snapshot().getIndex());
        }
        switch (member.mode()) {
            case SNAPSHOT -> flushSnapshot(member);
            case PROBE -> probe(member);
            case REPLICATE -> replicate(member);
            default -> throw new IllegalStateException("unknown mode " + member.mode());
        }
    }

    private boolean isInLog(Progress member) {
        return member.nextIndex() > context.log().baseIndex();
    }

    private void probe(Progress member) {
        if (!member.isWaiting()) {
            int maxBytes = context.settings().maxBatchBytes();
            sendEntries(member, context.log().slice(member.nextIndex(), maxBytes));
        }
    }

    private void replicate(Progress member) {
        while (member.nextIndex() <= context.log().lastIndex()
                && member.nextIndex() - member.matchIndex() <= MAX_UNANSWERED_ENTRIES) {
            int maxBytes = context.settings().maxBatchBytes();
            List<Entry> entries = context.log().slice(member.nextIndex(), maxBytes);
            sendEntries(member, entries);
            member.advanceNext(member.nextIndex() + entries.size());
        }
    }

    private void sendEntries(Progress member, List<Entry> entries) {
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
                context.outbox().envelope(member.member().voterId(), context.term());
        context.outbox().sendNow(member.member().nodeId(), envelope.setAppendRequest(request));
        member.noteSent(context.nowMs());
    }

    private void flushSnapshot(Progress member) {
        SnapshotHeader header = context.log().snapshot();
        if (member.snapshotIndex() != header.getIndex()) {
            member.startSnapshot(header.getIndex());
        }
        if (member.isWaiting()) {
            return;
        }
        SnapshotChunk chunk =
                SnapshotChunk.newBuilder()
                        .setHeader(header)
                        .setOffset(member.snapshotOffset())
                        .setSentAtMs(context.nowMs())
                        .build();
        Envelope.Builder envelope =
                context.outbox().envelope(member.member().voterId(), context.term());
        context.outbox()
                .sendChunk(
                        member.member().nodeId(),
                        envelope.setSnapshotChunk(chunk),
                        context.settings().snapshotChunkBytes());
        member.noteSent(context.nowMs());
    }
}
