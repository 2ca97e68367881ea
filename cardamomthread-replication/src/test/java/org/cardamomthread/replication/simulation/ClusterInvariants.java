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

    private final Map<Long, VoterId> leadersByTerm = new HashMap<>();
    private final Map<LogPosition, Entry> entriesByPosition = new HashMap<>();
    private final TreeMap<Long, String> appliedCommands = new TreeMap<>();
    private final Map<String, Long> acknowledgedCommands = new HashMap<>();
    private final Set<String> rejectedCommands = new HashSet<>();
    private long highestAcknowledgedIndex;
    private AssertionError failure;

    void onAppended(Entry entry) {
        LogPosition position = new LogPosition(entry.getIndex(), entry.getTerm());
        Entry known = entriesByPosition.putIfAbsent(position, entry);
        require(known == null || known.equals(entry), "log matching", position);
    }

    void onApplied(long index, String command) {
        String known = appliedCommands.putIfAbsent(index, command);
        require(known == null || known.equals(command), "applied sequences alike", index);
        require(
                known != null || appliedCommands.lastKey() == index,
                "nothing applied between applied entries",
                index);
        require(!rejectedCommands.contains(command), "true refusals", command);
    }

    /** Checks that a replica's applied commands are a prefix of the common sequence. */
    void onRestored(TreeMap<Long, String> state) {
        long last = state.isEmpty() ? 0 : state.lastKey();
        require(appliedCommands.headMap(last, true).equals(state), "snapshots are prefixes", last);
    }

    void onAcknowledged(String command, long index) {
        require(command.equals(appliedCommands.get(index)), "acknowledged means applied", command);
        acknowledgedCommands.put(command, index);
        highestAcknowledgedIndex = Math.max(highestAcknowledgedIndex, index);
    }

    void onNotAppended(String command) {
        rejectedCommands.add(command);
        require(!appliedCommands.containsValue(command), "true refusals", command);
    }

    long highestAcknowledgedIndex() {
        return highestAcknowledgedIndex;
    }

    void onRead(long required, long index) {
        require(index >= required, "reads are current", index);
    }

    void checkStatuses(List<ReplicationStatus> statuses) {
        int leases = 0;
        for (ReplicationStatus status : statuses) {
            if (status.role() == ReplicaRole.LEADER) {
                VoterId known = leadersByTerm.putIfAbsent(status.term(), status.voterId());
                require(
                        known == null || known.equals(status.voterId()),
                        "one leader a term",
                        status.term());
            }
            if (status.isLeaseHeld()) {
                leases++;
                require(
                        status.commitIndex() >= highestAcknowledgedIndex,
                        "leader completeness",
                        status);
            }
        }
        require(leases <= 1, "leases are exclusive", statuses);
    }

    /** Checks that a replica's state contains all that was acknowledged. */
    void requireAllAcknowledged(TreeMap<Long, String> state) {
        for (Map.Entry<String, Long> entry : acknowledgedCommands.entrySet()) {
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
        return acknowledgedCommands.size();
    }

    int leaderCount() {
        return leadersByTerm.size();
    }
}
