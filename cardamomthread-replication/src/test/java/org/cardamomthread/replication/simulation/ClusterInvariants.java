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

/** Checks the invariants that a group must keep under all simulated faults. */
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
        Entry existing = entriesByPosition.putIfAbsent(position, entry);
        require(
                existing == null || existing.equals(entry),
                "entries with equal index and term are equal",
                position);
    }

    void onApplied(long index, String command) {
        String existing = appliedCommands.putIfAbsent(index, command);
        require(
                existing == null || existing.equals(command),
                "all replicas apply the same command at an index",
                index);
        require(
                existing != null || appliedCommands.lastKey() == index,
                "commands are first applied in index order",
                index);
        require(
                !rejectedCommands.contains(command),
                "a command reported as not appended is never applied",
                command);
    }

    /** Checks that a restored state is a prefix of the commands applied by all replicas. */
    void onRestored(TreeMap<Long, String> state) {
        long lastIndex = state.isEmpty() ? 0 : state.lastKey();
        require(
                appliedCommands.headMap(lastIndex, true).equals(state),
                "a snapshot is a prefix of the applied commands",
                lastIndex);
    }

    void onAcknowledged(String command, long index) {
        require(
                command.equals(appliedCommands.get(index)),
                "an acknowledged command has been applied",
                command);
        acknowledgedCommands.put(command, index);
        highestAcknowledgedIndex = Math.max(highestAcknowledgedIndex, index);
    }

    void onNotAppended(String command) {
        rejectedCommands.add(command);
        require(
                !appliedCommands.containsValue(command),
                "a command reported as not appended is never applied",
                command);
    }

    long highestAcknowledgedIndex() {
        return highestAcknowledgedIndex;
    }

    void onRead(long minIndex, long index) {
        require(index >= minIndex, "a read includes all acknowledged commands", index);
    }

    void checkStatuses(List<ReplicationStatus> statuses) {
        int leaseHolders = 0;
        for (ReplicationStatus status : statuses) {
            if (status.role() == ReplicaRole.LEADER) {
                VoterId existing = leadersByTerm.putIfAbsent(status.term(), status.voterId());
                require(
                        existing == null || existing.equals(status.voterId()),
                        "a term has at most one leader",
                        status.term());
            }
            if (status.isLeaseHeld()) {
                leaseHolders++;
                require(
                        status.commitIndex() >= highestAcknowledgedIndex,
                        "a leader with a lease has committed all acknowledged commands",
                        status);
            }
        }
        require(leaseHolders <= 1, "at most one replica holds the lease", statuses);
    }

    /** Checks that the state of a replica contains all acknowledged commands. */
    void requireAllAcknowledged(TreeMap<Long, String> state) {
        for (Map.Entry<String, Long> entry : acknowledgedCommands.entrySet()) {
            require(
                    entry.getKey().equals(state.get(entry.getValue())),
                    "acknowledged commands are never lost",
                    entry);
        }
    }

    /**
     * Throws on all calls after a violation too, because futures swallow their callbacks' errors.
     */
    private void require(boolean condition, String invariant, Object detail) {
        if (!condition) {
            failure = new AssertionError("invariant violated: " + invariant + ": " + detail);
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
