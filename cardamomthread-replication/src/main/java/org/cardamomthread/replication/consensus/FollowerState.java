package org.cardamomthread.replication.consensus;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.AppendRequest;
import org.cardamomthread.replication.generated.AppendResponse;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.SnapshotChunk;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.SnapshotResponse;
import org.cardamomthread.replication.storage.Checksums;

/**
 * Appends entries and installs snapshots that the leader of the current term sends.
 *
 * <p>Invariants: a committed entry is never replaced; a response is sent only after the data that
 * it acknowledges is synced. Not thread-safe.
 */
final class FollowerState {

    private final ReplicaContext context;
    private SnapshotHeader incomingSnapshotHeader = SnapshotHeader.getDefaultInstance();
    private ByteString incomingSnapshotState = ByteString.EMPTY;
    private ReceivedSnapshot receivedSnapshot;

    FollowerState(ReplicaContext context) {
        this.context = context;
    }

    Optional<ReceivedSnapshot> takeReceivedSnapshot() {
        Optional<ReceivedSnapshot> taken = Optional.ofNullable(receivedSnapshot);
        receivedSnapshot = null;
        return taken;
    }

    void onAppendRequest(VoterId leader, NodeId leaderNode, AppendRequest request) {
        AppendResponse.Builder response =
                AppendResponse.newBuilder().setSentAtMs(request.getSentAtMs());
        ReplicaLog log = context.log();
        long lastRequestIndex = request.getPreviousIndex() + request.getEntriesCount();
        boolean isBeforeBase = request.getPreviousIndex() < log.baseIndex();
        if (isBeforeBase
                || log.containsEntry(request.getPreviousIndex(), request.getPreviousTerm())) {
            request.getEntriesList().forEach(this::appendIfMissing);
            long matchIndex = isBeforeBase ? Math.max(lastRequestIndex, 0) : lastRequestIndex;
            context.advanceCommitIndexTo(Math.min(request.getCommitIndex(), matchIndex));
            response.setAccepted(true).setMatchIndex(matchIndex);
        } else {
            response.setHintIndex(findHintIndex(request));
        }
        context.outbox()
                .queueAfterSync(
                        leaderNode,
                        context.outbox()
                                .newEnvelope(leader, context.term())
                                .setAppendResponse(response));
    }

    private void appendIfMissing(Entry entry) {
        ReplicaLog log = context.log();
        long index = entry.getIndex();
        if (index <= log.baseIndex() || log.containsEntry(index, entry.getTerm())) {
            return;
        }
        if (index <= log.lastIndex()) {
            if (index <= context.commitIndex()) {
                throw new IllegalStateException(
                        "committed entry "
                                + index
                                + " conflicts with an entry that the leader sent");
            }
            log.truncateFrom(index);
        }
        log.append(entry);
    }

    private long findHintIndex(AppendRequest request) {
        ReplicaLog log = context.log();
        if (request.getPreviousIndex() > log.lastIndex()) {
            return log.lastIndex();
        }
        long index = request.getPreviousIndex();
        long conflictingTerm = log.termAt(index);
        long lowestIndex = Math.max(log.baseIndex(), context.commitIndex());
        while (index > lowestIndex && log.termAt(index) == conflictingTerm) {
            index--;
        }
        return index;
    }

    void onSnapshotChunk(VoterId leader, NodeId leaderNode, SnapshotChunk chunk) {
        SnapshotHeader header = chunk.getHeader();
        SnapshotResponse.Builder response =
                SnapshotResponse.newBuilder()
                        .setIndex(header.getIndex())
                        .setSentAtMs(chunk.getSentAtMs());
        if (context.log().containsEntry(header.getIndex(), header.getTerm())) {
            context.advanceCommitIndexTo(header.getIndex());
        }
        if (header.getIndex() > context.commitIndex()) {
            collectChunk(chunk);
        }
        response.setInstalled(header.getIndex() <= context.commitIndex())
                .setNextOffset(incomingSnapshotState.size());
        context.outbox()
                .queueAfterSync(
                        leaderNode,
                        context.outbox()
                                .newEnvelope(leader, context.term())
                                .setSnapshotResponse(response));
    }

    private void collectChunk(SnapshotChunk chunk) {
        if (!chunk.getHeader().equals(incomingSnapshotHeader)) {
            incomingSnapshotHeader = chunk.getHeader();
            incomingSnapshotState = ByteString.EMPTY;
        }
        if (chunk.getOffset() != incomingSnapshotState.size()) {
            return;
        }
        incomingSnapshotState = incomingSnapshotState.concat(chunk.getData());
        if (incomingSnapshotState.size() >= incomingSnapshotHeader.getSizeBytes()) {
            installIfChecksumMatches();
        }
    }

    private void installIfChecksumMatches() {
        ByteString state = incomingSnapshotState;
        incomingSnapshotState = ByteString.EMPTY;
        if (Checksums.crc32c(state.toByteArray()) != incomingSnapshotHeader.getChecksum()) {
            return;
        }
        context.log().resetToSnapshot(incomingSnapshotHeader);
        context.advanceCommitIndexTo(incomingSnapshotHeader.getIndex());
        receivedSnapshot = new ReceivedSnapshot(incomingSnapshotHeader, state);
        incomingSnapshotHeader = SnapshotHeader.getDefaultInstance();
    }
}
