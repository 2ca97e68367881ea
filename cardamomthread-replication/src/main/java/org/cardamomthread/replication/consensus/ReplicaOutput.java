package org.cardamomthread.replication.consensus;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.TermState;

/**
 * Lists what a driver has to do after some inputs, in this order. Immutable.
 *
 * @param immediateMessages messages to send first
 * @param snapshotChunks parts of the snapshot to send
 * @param receivedSnapshot a snapshot to install in storage and state machine
 * @param termState the term and vote to write
 * @param entriesToAppend entries to append
 * @param messagesAfterSync messages to send only after all that is synced
 * @param committedEntries entries to apply after that
 */
public record ReplicaOutput(
        List<OutgoingMessage> immediateMessages,
        List<OutgoingSnapshotChunk> snapshotChunks,
        Optional<ReceivedSnapshot> receivedSnapshot,
        Optional<TermState> termState,
        List<Entry> entriesToAppend,
        List<OutgoingMessage> messagesAfterSync,
        List<Entry> committedEntries) {

    /**
     * Tells whether something must be written.
     *
     * @return true if storage has to be synced
     */
    public boolean requiresSync() {
        return termState.isPresent() || !entriesToAppend.isEmpty();
    }

    /**
     * Tells whether there is nothing to do.
     *
     * @return true if all parts are empty
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
