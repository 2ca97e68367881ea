package org.cardamomthread.replication.storage;

import java.util.List;
import java.util.Objects;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;

/**
 * Holds the content that a storage had when it was opened. Immutable.
 *
 * @param voterId the identity of the data folder
 * @param termState the last term and vote written
 * @param snapshotHeader the header of the latest snapshot; its index is 0 without a snapshot
 * @param entries the entries that follow the snapshot, without gaps
 */
public record RecoveredState(
        VoterId voterId, TermState termState, SnapshotHeader snapshotHeader, List<Entry> entries) {

    /** Requires non-null components and copies the entries to keep the state immutable. */
    public RecoveredState {
        Objects.requireNonNull(voterId, "voterId must not be null");
        Objects.requireNonNull(termState, "termState must not be null");
        Objects.requireNonNull(snapshotHeader, "snapshot must not be null");
        entries = List.copyOf(entries);
    }
}
