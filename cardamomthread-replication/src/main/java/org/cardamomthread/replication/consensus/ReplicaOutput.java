package org.cardamomthread.replication.consensus;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.TermState;

/**
 * Lists the actions that result from inputs; the caller performs them in component order.
 * Immutable.
 *
 * @param immediateMessages messages to send before anything is written
 * @param snapshotChunks snapshot chunks to read and send
 * @param receivedSnapshot a snapshot to install in the storage and the state machine
 * @param termState the term and vote to write to storage
 * @param entriesToAppend entries to append to storage
 * @param messagesAfterSync messages to send only after the writes above are synced
 * @param committedEntries committed entries to apply to the state machine
 */
public record ReplicaOutput(
        List<OutgoingReplicaMessage> immediateMessages,
        List<OutgoingSnapshotChunk> snapshotChunks,
        Optional<ReceivedSnapshot> receivedSnapshot,
        Optional<TermState> termState,
        List<Entry> entriesToAppend,
        List<OutgoingReplicaMessage> messagesAfterSync,
        List<Entry> committedEntries) {

    /**
     * Returns whether the storage must be synced.
     *
     * @return true if there is a term state or an entry to write
     */
    public boolean requiresSync() {
        return termState.isPresent() || !entriesToAppend.isEmpty();
    }

    /**
     * Returns whether no action is required.
     *
     * @return true if all components are empty
     */
    public boolean isEmpty() {
        return immediateMessages.isEmpty()
                && snapshotChunks.isEmpty()
                && receivedSnapshot.isEmpty()
                && !requiresSync()
                && messagesAfterSync.isEmpty()
                && committedEntries.isEmpty();
    }
}
