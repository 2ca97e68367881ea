package org.cardamomthread.replication;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the settings of a group, alike on each of its nodes. Immutable.
 *
 * @param voterNodes the nodes that keep the log; the first one forms the group at its first start
 * @param electionTimeoutMs how long a voter hears nothing from a leader before it seeks another;
 *     within it, it supports no other candidate
 * @param heartbeatMs the interval of a leader's messages to an idle follower
 * @param maxClockDriftRatio the largest relative error of any node's clock rate, from 0 to 0.2
 * @param snapshotEntries the applied entries after which a snapshot is taken
 * @param maxBatchBytes the largest sum of entries in one message
 * @param snapshotChunkBytes the size of one part of a snapshot in transfer
 * @param maxPendingProposals the most commands that wait for their commit
 */
public record ReplicationSettings(
        List<NodeId> voterNodes,
        long electionTimeoutMs,
        long heartbeatMs,
        double maxClockDriftRatio,
        int snapshotEntries,
        int maxBatchBytes,
        int snapshotChunkBytes,
        int maxPendingProposals) {

    private static final long DEFAULT_ELECTION_TIMEOUT_MS = 1000;
    private static final long CLOCK_ROUNDING_MARGIN_MS = 2;
    private static final long DEFAULT_HEARTBEAT_MS = 150;
    private static final double DEFAULT_MAX_CLOCK_DRIFT_RATIO = 0.01;
    private static final double MAX_CLOCK_DRIFT_RATIO_LIMIT = 0.2;
    private static final int DEFAULT_SNAPSHOT_INTERVAL_ENTRIES = 10_000;
    private static final int DEFAULT_MAX_BATCH_BYTES = 512 * 1024;
    private static final int DEFAULT_SNAPSHOT_CHUNK_BYTES = 256 * 1024;
    private static final int DEFAULT_MAX_PENDING_PROPOSALS = 10_000;

    /** Checks the settings. */
    public ReplicationSettings {
        voterNodes = List.copyOf(voterNodes);
        require(!voterNodes.isEmpty(), "voterNodes must name at least one node");
        require(
                voterNodes.stream().distinct().count() == voterNodes.size(),
                "voterNodes " + voterNodes + " must name each node once");
        require(heartbeatMs > 0, "heartbeatMs " + heartbeatMs + " must be positive");
        require(
                electionTimeoutMs >= 3 * heartbeatMs,
                "electionTimeoutMs "
                        + electionTimeoutMs
                        + " must be at least three times heartbeatMs "
                        + heartbeatMs);
        require(
                maxClockDriftRatio >= 0 && maxClockDriftRatio <= MAX_CLOCK_DRIFT_RATIO_LIMIT,
                "maxClockRateError " + maxClockDriftRatio + " must be from 0 to 0.2");
        require(snapshotEntries > 0, "snapshotEntries must be positive");
        require(maxBatchBytes > 0, "maxBatchBytes must be positive");
        require(snapshotChunkBytes > 0, "snapshotChunkBytes must be positive");
        require(maxPendingProposals > 0, "maxPendingProposals must be positive");
    }

    /**
     * Creates settings with the defaults.
     *
     * @param voterNodes the nodes that keep the log
     * @return the settings
     */
    public static ReplicationSettings withDefaults(List<NodeId> voterNodes) {
        return new ReplicationSettings(
                voterNodes,
                DEFAULT_ELECTION_TIMEOUT_MS,
                DEFAULT_HEARTBEAT_MS,
                DEFAULT_MAX_CLOCK_DRIFT_RATIO,
                DEFAULT_SNAPSHOT_INTERVAL_ENTRIES,
                DEFAULT_MAX_BATCH_BYTES,
                DEFAULT_SNAPSHOT_CHUNK_BYTES,
                DEFAULT_MAX_PENDING_PROPOSALS);
    }

    /**
     * Returns a copy with other timings.
     *
     * @param otherElectionTimeoutMs the election timeout
     * @param otherHeartbeatMs the heartbeat interval
     * @return the copy
     */
    public ReplicationSettings withTimings(long otherElectionTimeoutMs, long otherHeartbeatMs) {
        return new ReplicationSettings(
                voterNodes,
                otherElectionTimeoutMs,
                otherHeartbeatMs,
                maxClockDriftRatio,
                snapshotEntries,
                maxBatchBytes,
                snapshotChunkBytes,
                maxPendingProposals);
    }

    /**
     * Returns a copy with another snapshot interval.
     *
     * @param entries the applied entries after which a snapshot is taken
     * @return the copy
     */
    public ReplicationSettings withSnapshotEntries(int entries) {
        return new ReplicationSettings(
                voterNodes,
                electionTimeoutMs,
                heartbeatMs,
                maxClockDriftRatio,
                entries,
                maxBatchBytes,
                snapshotChunkBytes,
                maxPendingProposals);
    }

    /**
     * Returns how long a leader may act alone after it sent a message that a majority answered.
     *
     * <p>The fastest allowed clock ends a voter's silence after electionTimeoutMs ÷ (1 + error);
     * the slowest allowed clock of the leader must have measured the lease by then. Either clock
     * shows whole milliseconds, which can cost one each.
     *
     * @return the lease in milliseconds of the leader's own clock
     */
    public long leaseMs() {
        double shareOfTimeout = (1 - maxClockDriftRatio) / (1 + maxClockDriftRatio);
        return (long) Math.floor(electionTimeoutMs * shareOfTimeout) - CLOCK_ROUNDING_MARGIN_MS;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException(message);
        }
    }
}
