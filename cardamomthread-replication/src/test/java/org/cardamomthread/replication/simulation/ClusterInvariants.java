package org.cardamomthread.replication.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.consensus.LogPosition;
import org.cardamomthread.replication.generated.Entry;

/** Checks what must hold for a whole group, whatever fails. */
final class ClusterInvariants {

    private final Map<Long, VoterId> leaders = new HashMap<>();
    private final Map<LogPosition, Entry> entries = new HashMap<>();
    private final TreeMap<Long, String> applied = new TreeMap<>();
    private final Map<String, Long> acknowledged = new HashMap<>();
    private final Set<String> notAppended = new HashSet<>();
    private long highestAcknowledged;
    private AssertionError failure;

    void onAppended(Entry entry) {
        LogPosition position = new LogPosition(entry.getIndex(), entry.getTerm());
        Entry known = entries.putIfAbsent(position, entry);
        require(known == null || known.equals(entry), "log matching", position);
    }

    void onApplied(long index, String command) {
        String known = applied.putIfAbsent(index, command);
        require(known == null || known.equals(command), "applied sequences alike", index);
        require(
                known != null || applied.lastKey() == index,
                "nothing applied between applied entries",
                index);
        require(!notAppended.contains(command), "true refusals", command);
    }

    /** Checks that a replica's applied commands are a prefix of the common sequence. */
    void onState(TreeMap<Long, String> state) {
        long last = state.isEmpty() ? 0 : state.lastKey();
        require(applied.headMap(last, true).equals(state), "snapshots are prefixes", last);
    }

    void onAcknowledged(String command, long index) {
        require(command.equals(applied.get(index)), "acknowledged means applied", command);
        acknowledged.put(command, index);
        highestAcknowledged = Math.max(highestAcknowledged, index);
    }

    void onNotAppended(String command) {
        notAppended.add(command);
        require(!applied.containsValue(command), "true refusals", command);
    }

    long highestAcknowledged() {
        return highestAcknowledged;
    }

    void onRead(long required, long index) {
        require(index >= required, "reads are current", index);
    }

    void onStatuses(List<ReplicationStatus> statuses) {
        int leases = 0;
        for (ReplicationStatus status : statuses) {
            if (status.role() == ReplicaRole.LEADER) {
                VoterId known = leaders.putIfAbsent(status.term(), status.voterId());
                require(
                        known == null || known.equals(status.voterId()),
                        "one leader a term",
                        status.term());
            }
            if (status.isLeaseHeld()) {
                leases++;
                require(status.commitIndex() >= highestAcknowledged, "leader completeness", status);
            }
        }
        require(leases <= 1, "leases are exclusive", statuses);
    }

    /** Checks that a replica's state contains all that was acknowledged. */
    void requireComplete(TreeMap<Long, String> state) {
        for (Map.Entry<String, Long> entry : acknowledged.entrySet()) {
            require(
                    entry.getKey().equals(state.get(entry.getValue())),
                    "acknowledged commands survive",
                    entry);
        }
    }

    /** Keeps the first failure too, since futures swallow what their callbacks throw. */
    private void require(boolean condition, String invariant, Object detail) {
        if (!condition) {
            failure = new AssertionError("invariant broken: " + invariant + ": " + detail);
        }
        if (failure != null) {
            throw failure;
        }
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    int leaderCount() {
        return leaders.size();
    }
}
