package org.cardamomthread.replication;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the settings of a group, which must be the same on each of its nodes. Immutable.
 *
 * @param voterNodes the nodes that run the voters; the first one bootstraps the group at its first
 *     start
 * @param electionTimeoutMs the minimum time without a leader's message after which a voter starts
 *     an election; until then it votes for no candidate
 * @param heartbeatMs the interval of a leader's messages to a follower without new entries
 * @param maxClockDriftRatio the maximum relative deviation of any node's clock rate, from 0 to 0.2
 * @param snapshotIntervalEntries the number of applied entries after which a snapshot is taken
 * @param snapshotIntervalBytes the total size of applied entries after which a snapshot is taken;
 *     it bounds the log in memory, on disk and at a restart
 * @param maxBatchBytes the maximum total size of the entries in one message
 * @param snapshotChunkBytes the maximum size of a chunk in which a snapshot is transferred
 * @param maxPendingProposals the maximum number of commands that wait for their commit
 * @param voterReplacement when other nodes become voters, or empty if only {@code voterNodes} may
 *     vote
 */
public record ReplicationSettings(
        List<NodeId> voterNodes,
        long electionTimeoutMs,
        long heartbeatMs,
        double maxClockDriftRatio,
        int snapshotIntervalEntries,
        int snapshotIntervalBytes,
        int maxBatchBytes,
        int snapshotChunkBytes,
        int maxPendingProposals,
        Optional<VoterReplacement> voterReplacement) {

    private static final long DEFAULT_ELECTION_TIMEOUT_MS = 1000;
    private static final long CLOCK_ROUNDING_MARGIN_MS = 2;
    private static final long DEFAULT_HEARTBEAT_MS = 150;
    private static final double DEFAULT_MAX_CLOCK_DRIFT_RATIO = 0.01;
    private static final double MAX_CLOCK_DRIFT_RATIO_LIMIT = 0.2;
    private static final int DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = 10_000;
    private static final int DEFAULT_SNAPSHOT_INTERVAL_BYTES = 2 * 1024 * 1024;
    private static final int DEFAULT_MAX_BATCH_BYTES = 512 * 1024;
    private static final int DEFAULT_SNAPSHOT_CHUNK_BYTES = 256 * 1024;
    private static final int DEFAULT_MAX_PENDING_PROPOSALS = 10_000;

    /** Validates the settings. */
    public ReplicationSettings {
        voterNodes = List.copyOf(voterNodes);
        require(!voterNodes.isEmpty(), "voterNodes must name at least one node");
        require(
                voterNodes.stream().distinct().count() == voterNodes.size(),
                "voterNodes "
                        + voterNodes
                        + " contains a node more than once; list each node once");
        require(heartbeatMs > 0, "heartbeatMs " + heartbeatMs + " must be positive");
        require(
                electionTimeoutMs >= 3 * heartbeatMs,
                "electionTimeoutMs "
                        + electionTimeoutMs
                        + " must be at least three times heartbeatMs "
                        + heartbeatMs);
        require(
                maxClockDriftRatio >= 0 && maxClockDriftRatio <= MAX_CLOCK_DRIFT_RATIO_LIMIT,
                "maxClockDriftRatio " + maxClockDriftRatio + " must be between 0 and 0.2");
        require(snapshotIntervalEntries > 0, "snapshotIntervalEntries must be positive");
        require(snapshotIntervalBytes > 0, "snapshotIntervalBytes must be positive");
        require(maxBatchBytes > 0, "maxBatchBytes must be positive");
        require(snapshotChunkBytes > 0, "snapshotChunkBytes must be positive");
        require(maxPendingProposals > 0, "maxPendingProposals must be positive");
    }

    /**
     * Creates settings with default values.
     *
     * @param voterNodes the nodes that run the voters; the first one bootstraps the group
     * @return the settings with defaults for everything else
     */
    public static ReplicationSettings withDefaults(List<NodeId> voterNodes) {
        return new ReplicationSettings(
                voterNodes,
                DEFAULT_ELECTION_TIMEOUT_MS,
                DEFAULT_HEARTBEAT_MS,
                DEFAULT_MAX_CLOCK_DRIFT_RATIO,
                DEFAULT_SNAPSHOT_INTERVAL_ENTRIES,
                DEFAULT_SNAPSHOT_INTERVAL_BYTES,
                DEFAULT_MAX_BATCH_BYTES,
                DEFAULT_SNAPSHOT_CHUNK_BYTES,
                DEFAULT_MAX_PENDING_PROPOSALS,
                Optional.empty());
    }

    /**
     * Returns a copy with another election timeout and heartbeat interval.
     *
     * @param otherElectionTimeoutMs the election timeout, at least three heartbeat intervals
     * @param otherHeartbeatMs the heartbeat interval, positive
     * @return a copy that is otherwise equal
     */
    public ReplicationSettings withElectionTimeoutAndHeartbeat(
            long otherElectionTimeoutMs, long otherHeartbeatMs) {
        return new ReplicationSettings(
                voterNodes,
                otherElectionTimeoutMs,
                otherHeartbeatMs,
                maxClockDriftRatio,
                snapshotIntervalEntries,
                snapshotIntervalBytes,
                maxBatchBytes,
                snapshotChunkBytes,
                maxPendingProposals,
                voterReplacement);
    }

    /**
     * Returns a copy in which other nodes become voters.
     *
     * @param replacement when they become voters, or empty if only {@code voterNodes} may vote
     * @return a copy that is otherwise equal
     */
    public ReplicationSettings withVoterReplacement(Optional<VoterReplacement> replacement) {
        return new ReplicationSettings(
                voterNodes,
                electionTimeoutMs,
                heartbeatMs,
                maxClockDriftRatio,
                snapshotIntervalEntries,
                snapshotIntervalBytes,
                maxBatchBytes,
                snapshotChunkBytes,
                maxPendingProposals,
                replacement);
    }

    /**
     * Returns a copy with another snapshot interval.
     *
     * @param entries the number of applied entries after which a snapshot is taken
     * @return a copy that is otherwise equal
     */
    public ReplicationSettings withSnapshotIntervalEntries(int entries) {
        return new ReplicationSettings(
                voterNodes,
                electionTimeoutMs,
                heartbeatMs,
                maxClockDriftRatio,
                entries,
                snapshotIntervalBytes,
                maxBatchBytes,
                snapshotChunkBytes,
                maxPendingProposals,
                voterReplacement);
    }

    /**
     * Returns how long a leader holds its lease after it sent a message to which a majority
     * responded.
     *
     * <p>A voter with the fastest allowed clock may vote again after electionTimeoutMs ÷ (1 +
     * drift); a leader with the slowest allowed clock must consider the lease expired by then. Both
     * clocks are rounded to whole milliseconds, which can cost one millisecond each.
     *
     * @return the duration of the lease in milliseconds, measured by the leader's clock
     */
    public long leaseMs() {
        double slowestToFastestRatio = (1 - maxClockDriftRatio) / (1 + maxClockDriftRatio);
        return (long) Math.floor(electionTimeoutMs * slowestToFastestRatio)
                - CLOCK_ROUNDING_MARGIN_MS;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
