package org.cardamomthread.replication.consensus;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.TermState;

/**
 * Lists what a driver has to do after some inputs, in this order. Immutable.
 *
 * @param immediateMessages messages to send first
 * @param chunks parts of the snapshot to send
 * @param snapshot a snapshot to install in storage and state machine
 * @param termState the term and vote to write
 * @param entries entries to append
 * @param messagesAfterSync messages to send only after all that is synced
 * @param committed entries to apply after that
 */
public record ReplicaOutput(
        List<OutgoingMessage> immediateMessages,
        List<OutgoingChunk> chunks,
        Optional<ReceivedSnapshot> snapshot,
        Optional<TermState> termState,
        List<Entry> entries,
        List<OutgoingMessage> messagesAfterSync,
        List<Entry> committed) {

    /**
     * Tells whether something must be written.
     *
     * @return true if storage has to be synced
     */
    public boolean isSyncNeeded() {
        return termState.isPresent() || !entries.isEmpty();
    }

    /**
     * Tells whether there is nothing to do.
     *
     * @return true if all parts are empty
     */
    public boolean isEmpty() {
        return immediateMessages.isEmpty()
                && chunks.isEmpty()
                && snapshot.isEmpty()
                && !isSyncNeeded()
                && messagesAfterSync.isEmpty()
                && committed.isEmpty();
    }
}
