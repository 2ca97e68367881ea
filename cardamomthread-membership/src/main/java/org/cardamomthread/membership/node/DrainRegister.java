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
 * Holds the drain record of each data centre and which nodes confirmed it.
 *
 * <p>Invariant: a record is only ever replaced by its join with another, so registers that have
 * seen the same records are equal in whatever order they saw them. A node counts as having
 * confirmed a record only while its reported digest equals the digest of records that include it.
 * Not safe for use by several threads; its directory guards it.
 */
final class DrainRegister {

    /** Digest of a register without records. */
    static final int EMPTY_DIGEST = 0;

    private final Map<DataCentreId, DrainRecord> records = new TreeMap<>();
    private final Map<DataCentreId, Set<NodeId>> confirmed = new HashMap<>();
    private int digest = EMPTY_DIGEST;

    DrainRecord set(DataCentreId dataCentre, boolean out) {
        DrainRecord present = records.get(dataCentre);
        if (present != null && present.out() == out) {
            return present;
        }
        long epoch = present == null ? 1 : present.epoch() + 1;
        DrainRecord record = new DrainRecord(dataCentre, epoch, out);
        join(record);
        return record;
    }

    boolean join(DrainRecord record) {
        DrainRecord present = records.get(record.dataCentre());
        DrainRecord joined = present == null ? record : present.join(record);
        if (joined.equals(present)) {
            return false;
        }
        records.put(joined.dataCentre(), joined);
        confirmed.remove(joined.dataCentre());
        digest = digestOf(records.values());
        return true;
    }

    void confirm(NodeId node, int reportedDigest) {
        if (reportedDigest != digest) {
            return;
        }
        for (DataCentreId dataCentre : records.keySet()) {
            confirmed.computeIfAbsent(dataCentre, key -> new HashSet<>()).add(node);
        }
    }

    void forgetConfirmations(NodeId node) {
        confirmed.values().forEach(nodes -> nodes.remove(node));
    }

    Optional<DrainRecord> record(DataCentreId dataCentre) {
        return Optional.ofNullable(records.get(dataCentre));
    }

    List<DrainRecord> records() {
        return List.copyOf(records.values());
    }

    Set<NodeId> confirmedBy(DataCentreId dataCentre) {
        return Set.copyOf(confirmed.getOrDefault(dataCentre, Set.of()));
    }

    int digest() {
        return digest;
    }

    private static int digestOf(Collection<DrainRecord> records) {
        HashStream64 stream = Hashing.xxh3_64().hashStream();
        for (DrainRecord record : records) {
            stream.putString(record.dataCentre().value());
            stream.putLong(record.epoch());
            stream.putBoolean(record.out());
        }
        int folded = Long.hashCode(stream.getAsLong());
        return folded == EMPTY_DIGEST ? 1 : folded;
    }
}
