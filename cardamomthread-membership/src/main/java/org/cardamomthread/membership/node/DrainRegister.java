package org.cardamomthread.membership.node;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the drain record of each data centre and the nodes that confirmed it.
 *
 * <p>Invariant: a record is only ever replaced by its merge with another one, so registers that
 * received the same records are equal whatever the order of receipt. A node has confirmed a record
 * once it reported the digest of a register that holds this record, until the record changes or the
 * node restarts. Not thread-safe; the directory synchronizes access.
 */
final class DrainRegister {

    /** The digest of a register without records; no other register has it. */
    static final int EMPTY_DIGEST = 0;

    private final Map<DataCentreId, DrainRecord> records = new TreeMap<>();
    private final Map<DataCentreId, Set<NodeId>> confirmingNodes = new HashMap<>();
    private int digest = EMPTY_DIGEST;

    /** Records a change of state and returns the record that now applies. */
    DrainRecord set(DataCentreId dataCentre, boolean out) {
        DrainRecord current = records.get(dataCentre);
        if (current != null && current.drained() == out) {
            return current;
        }
        long epoch = current == null ? 1 : current.epoch() + 1;
        DrainRecord record = new DrainRecord(dataCentre, epoch, out);
        merge(record);
        return record;
    }

    /** Merges a record and returns whether this changed the register. */
    boolean merge(DrainRecord record) {
        DrainRecord current = records.get(record.dataCentre());
        DrainRecord merged = current == null ? record : current.merge(record);
        if (merged.equals(current)) {
            return false;
        }
        records.put(merged.dataCentre(), merged);
        confirmingNodes.remove(merged.dataCentre());
        digest = digestOf(records.values());
        return true;
    }

    /** Marks all records as confirmed by a node if it reported the digest of this register. */
    void confirmIfCurrent(NodeId node, int reportedDigest) {
        if (reportedDigest != digest) {
            return;
        }
        for (DataCentreId dataCentre : records.keySet()) {
            confirmingNodes.computeIfAbsent(dataCentre, key -> new HashSet<>()).add(node);
        }
    }

    void removeConfirmations(NodeId node) {
        confirmingNodes.values().forEach(nodes -> nodes.remove(node));
    }

    Optional<DrainRecord> record(DataCentreId dataCentre) {
        return Optional.ofNullable(records.get(dataCentre));
    }

    List<DrainRecord> records() {
        return List.copyOf(records.values());
    }

    Set<NodeId> confirmedBy(DataCentreId dataCentre) {
        return Set.copyOf(confirmingNodes.getOrDefault(dataCentre, Set.of()));
    }

    int digest() {
        return digest;
    }

    /** Returns a hash of the records that is never {@link #EMPTY_DIGEST}. */
    private static int digestOf(Collection<DrainRecord> records) {
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        for (DrainRecord record : records) {
            stream.putString(record.dataCentre().value());
            stream.putLong(record.epoch());
            stream.putBoolean(record.drained());
        }
        int digest = Long.hashCode(stream.getAsLong());
        return digest == EMPTY_DIGEST ? 1 : digest;
    }
}
