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
 * Holds the records of all other nodes and judges their liveness.
 *
 * <p>Not safe for use by several threads; its directory guards it.
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

    void put(NodeEntry entry, long nowMs) {
        if (entry.id().equals(self)) {
            return;
        }
        long key = NodeDigest.keyOf(entry.id());
        NodeRecord present = records.get(key);
        if (present == null) {
            NodeRecord record = new NodeRecord(key, entry, nowMs);
            records.put(key, record);
            localCount += isLocal(record) ? 1 : 0;
        } else if (entry.isNewerThan(present.entry())) {
            present.replaceEntry(entry, nowMs);
        }
    }

    void putSeed(NodeEntry entry, long nowMs) {
        put(entry, nowMs);
        seedKeys.add(NodeDigest.keyOf(entry.id()));
    }

    NodeState state(NodeRecord record, long nowMs) {
        if (record.entry().leaving() && record.entry().incarnation() == record.incarnation()) {
            return NodeState.LEFT;
        }
        if (!record.wasHeard()) {
            return NodeState.UNKNOWN;
        }
        long silentMs = nowMs - record.lastHeardMs() - delayMs(record);
        if (silentMs >= settings.deadAfterMs()) {
            return NodeState.DEAD;
        }
        return silentMs >= settings.suspectAfterMs() ? NodeState.SUSPECT : NodeState.ALIVE;
    }

    boolean isLocal(NodeRecord record) {
        return record.entry().dataCentre().equals(dataCentre);
    }

    List<NodeRecord> inState(long nowMs, boolean local, NodeState... states) {
        List<NodeState> wanted = List.of(states);
        List<NodeRecord> found = new ArrayList<>();
        for (NodeRecord record : records.values()) {
            if (isLocal(record) == local && wanted.contains(state(record, nowMs))) {
                found.add(record);
            }
        }
        return found;
    }

    void forgetSilent(long nowMs) {
        records.values().removeIf(record -> isForgettable(record, nowMs));
        localCount = (int) records.values().stream().filter(this::isLocal).count();
    }

    private boolean isForgettable(NodeRecord record, long nowMs) {
        return record.wasHeard()
                && !seedKeys.contains(record.key())
                && nowMs - record.lastHeardMs() > settings.forgetAfterMs();
    }

    private long delayMs(NodeRecord record) {
        return isLocal(record)
                ? settings.localDelayMs(localCount)
                : settings.indirectDelayMs(records.size());
    }
}
