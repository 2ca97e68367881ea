package org.cardamomthread.replication.storage;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;

/**
 * Holds what a storage contained when it was opened. Immutable.
 *
 * @param voterId the identity of the data folder
 * @param termState the last term and vote
 * @param snapshot the header of the last snapshot; index 0 without one
 * @param entries the entries that follow the snapshot, without gaps
 */
public record RecoveredState(
        VoterId voterId, TermState termState, SnapshotHeader snapshot, List<Entry> entries) {

    /** Copies the entries. */
    public RecoveredState {
        Objects.requireNonNull(voterId, "voterId must not be null");
        Objects.requireNonNull(termState, "termState must not be null");
        Objects.requireNonNull(snapshot, "snapshot must not be null");
        entries = List.copyOf(entries);
    }
}
