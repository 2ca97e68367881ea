package org.cardamomthread.membership.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the records of all other nodes and derives their liveness.
 *
 * <p>Not thread-safe; the directory synchronizes access.
 */
final class NodeTable {

    private final NodeId self;
    private final DataCentreId dataCentre;
    private final NodeDirectorySettings settings;
    private final Map<Long, NodeRecord> records = new HashMap<>();
    private final Set<Long> seedKeys = new HashSet<>();
    private int localCount;

    NodeTable(NodeId self, DataCentreId dataCentre, NodeDirectorySettings settings) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.settings = settings;
    }

    Optional<NodeRecord> find(long key) {
        return Optional.ofNullable(records.get(key));
    }

    Optional<NodeRecord> find(NodeId id) {
        return find(NodeDigest.keyOf(id));
    }

    Collection<NodeRecord> all() {
        return records.values();
    }

    /** Adds an entry, or replaces that of the node if it is newer. Ignores entries of this node. */
    void put(NodeEntry entry, long nowMs) {
        if (entry.id().equals(self)) {
            return;
        }
        long key = NodeDigest.keyOf(entry.id());
        NodeRecord existing = records.get(key);
        if (existing == null) {
            NodeRecord record = new NodeRecord(key, entry, nowMs);
            records.put(key, record);
            localCount += isLocal(record) ? 1 : 0;
        } else if (entry.isNewerThan(existing.entry())) {
            existing.replaceEntry(entry, nowMs);
        }
    }

    /** Adds a node that is never removed, however long it is silent. */
    void putSeed(NodeEntry entry, long nowMs) {
        put(entry, nowMs);
        seedKeys.add(NodeDigest.keyOf(entry.id()));
    }

    NodeState state(NodeRecord record, long nowMs) {
        if (record.entry().leaving() && record.entry().incarnation() == record.incarnation()) {
            return NodeState.LEFT;
        }
        if (!record.hasBeenHeardFrom()) {
            return NodeState.UNKNOWN;
        }
        long silentMs = nowMs - record.lastHeardMs() - expectedDelayMs(record);
        if (silentMs >= settings.deadAfterMs()) {
            return NodeState.DEAD;
        }
        return silentMs >= settings.suspectAfterMs() ? NodeState.SUSPECT : NodeState.ALIVE;
    }

    boolean isLocal(NodeRecord record) {
        return record.entry().dataCentre().equals(dataCentre);
    }

    List<NodeRecord> recordsInState(long nowMs, boolean local, NodeState... states) {
        List<NodeState> accepted = List.of(states);
        List<NodeRecord> matching = new ArrayList<>();
        for (NodeRecord record : records.values()) {
            if (isLocal(record) == local && accepted.contains(state(record, nowMs))) {
                matching.add(record);
            }
        }
        return matching;
    }

    void removeSilent(long nowMs) {
        records.values().removeIf(record -> isRemovable(record, nowMs));
        localCount = (int) records.values().stream().filter(this::isLocal).count();
    }

    private boolean isRemovable(NodeRecord record, long nowMs) {
        return record.hasBeenHeardFrom()
                && !seedKeys.contains(record.key())
                && nowMs - record.lastHeardMs() > settings.removeAfterMs();
    }

    /**
     * Returns the heartbeat delay that gossip itself may cause, which does not count as silence.
     */
    private long expectedDelayMs(NodeRecord record) {
        return isLocal(record)
                ? settings.localDelayMs(localCount)
                : settings.indirectDelayMs(records.size());
    }
}
