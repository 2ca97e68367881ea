package org.cardamomthread.membership.node;

/**
 * Holds the intervals and limits of the gossip protocol.
 *
 * <p>Immutable and thread-safe.
 *
 * @param heartbeatIntervalMs the milliseconds between heartbeat rounds in the local data centre
 * @param remoteIntervalMs the milliseconds between digest rounds, which also reach other data
 *     centres
 * @param localFanOut the maximum number of local nodes that receive a heartbeat per round
 * @param remoteFanOut the number of nodes of other data centres that receive digests per round;
 *     more in small clusters
 * @param digestsPerMessage the maximum number of node digests in one message
 * @param suspectAfterMs the milliseconds of silence after which a node is suspect
 * @param deadAfterMs the milliseconds of silence after which a node is dead
 * @param probeIntervalMs the milliseconds between attempts to reach a dead or unknown node
 * @param removeAfterMs the milliseconds of silence after which a node other than a seed is removed
 */
public record NodeDirectorySettings(
        long heartbeatIntervalMs,
        long remoteIntervalMs,
        int localFanOut,
        int remoteFanOut,
        int digestsPerMessage,
        long suspectAfterMs,
        long deadAfterMs,
        long probeIntervalMs,
        long removeAfterMs) {

    /**
     * The digest rounds that a heartbeat may take to arrive indirectly before the node counts as
     * silent.
     */
    private static final int MAX_INDIRECT_HEARTBEAT_ROUNDS = 6;

    private static final int MAX_REMOTE_FAN_OUT = 4;

    /** Rejects values that are not positive and silence limits that are out of order. */
    public NodeDirectorySettings {
        if (heartbeatIntervalMs <= 0 || remoteIntervalMs <= 0 || probeIntervalMs <= 0) {
            throw new IllegalArgumentException(
                    "heartbeatIntervalMs, remoteIntervalMs and probeIntervalMs must be positive");
        }
        if (localFanOut <= 0 || remoteFanOut <= 0 || digestsPerMessage <= 0) {
            throw new IllegalArgumentException(
                    "localFanOut, remoteFanOut and digestsPerMessage must be positive");
        }
        if (suspectAfterMs <= heartbeatIntervalMs
                || deadAfterMs < suspectAfterMs
                || removeAfterMs <= deadAfterMs) {
            throw new IllegalArgumentException(
                    "heartbeatIntervalMs "
                            + heartbeatIntervalMs
                            + " < suspectAfterMs "
                            + suspectAfterMs
                            + " <= deadAfterMs "
                            + deadAfterMs
                            + " < removeAfterMs "
                            + removeAfterMs
                            + " must hold");
        }
    }

    /**
     * Returns the default settings.
     *
     * @return the settings of a node that configures nothing else
     */
    public static NodeDirectorySettings defaults() {
        return new NodeDirectorySettings(500, 1_000, 32, 1, 128, 2_000, 4_000, 2_000, 600_000);
    }

    /**
     * Returns the number of remote nodes to send digests to per round. It exceeds the setting in
     * small clusters, where messages are small.
     *
     * @param knownNodes the number of other nodes known
     * @return the remote fan-out
     */
    int remoteFanOutFor(int knownNodes) {
        int affordableFanOut =
                Math.min(MAX_REMOTE_FAN_OUT, digestsPerMessage / Math.max(1, knownNodes));
        return Math.max(remoteFanOut, affordableFanOut);
    }

    /**
     * Returns the additional delay of heartbeats that arrive indirectly, in digests.
     *
     * @param indirectNodes the number of nodes whose heartbeats arrive in digests
     * @return the milliseconds to add to the limits for suspect and dead nodes
     */
    long indirectDelayMs(int indirectNodes) {
        long rounds = 1 + (long) indirectNodes / digestsPerMessage;
        return rounds * remoteIntervalMs * MAX_INDIRECT_HEARTBEAT_ROUNDS;
    }

    /**
     * Returns the additional delay of direct heartbeats when one round does not reach all local
     * nodes.
     *
     * @param localNodes the number of other nodes in the local data centre
     * @return the milliseconds to add to the limits for suspect and dead nodes
     */
    long localDelayMs(int localNodes) {
        long rounds = (long) Math.max(0, localNodes - 1) / localFanOut;
        return rounds * heartbeatIntervalMs * 2;
    }
}
