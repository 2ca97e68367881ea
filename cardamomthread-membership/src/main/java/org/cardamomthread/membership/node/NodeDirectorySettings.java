package org.cardamomthread.membership.node;

/**
 * Holds the intervals and bounds of the gossip.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param heartbeatIntervalMs milliseconds between two heartbeats to nodes of the own data centre
 * @param remoteIntervalMs milliseconds between two rounds to other data centres
 * @param localFanOut the most nodes of the own data centre written to in one round
 * @param remoteFanOut nodes of other data centres written to in one round
 * @param digestsPerMessage the most nodes described in one message
 * @param suspectAfterMs silence after which a node is suspect
 * @param deadAfterMs silence after which a node is dead
 * @param probeIntervalMs milliseconds between two attempts to reach a dead or unknown node
 * @param forgetAfterMs silence after which a dead node is dropped
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
        long forgetAfterMs) {

    /** Rounds that an indirect heartbeat may take before a node's silence means anything. */
    private static final int DIGEST_ROUNDS_BEFORE_SUSPICION = 6;

    private static final int MAX_REMOTE_FAN_OUT = 4;

    /** Checks that all are positive and in order. */
    public NodeDirectorySettings {
        if (heartbeatIntervalMs <= 0 || remoteIntervalMs <= 0 || probeIntervalMs <= 0) {
            throw new IllegalArgumentException("intervals must be positive milliseconds");
        }
        if (localFanOut <= 0 || remoteFanOut <= 0 || digestsPerMessage <= 0) {
            throw new IllegalArgumentException(
                    "localFanOut, remoteFanOut and digestsPerMessage must be positive");
        }
        if (suspectAfterMs <= heartbeatIntervalMs
                || deadAfterMs < suspectAfterMs
                || forgetAfterMs <= deadAfterMs) {
            throw new IllegalArgumentException(
                    "heartbeatIntervalMs "
                            + heartbeatIntervalMs
                            + " < suspectAfterMs "
                            + suspectAfterMs
                            + " <= deadAfterMs "
                            + deadAfterMs
                            + " < forgetAfterMs "
                            + forgetAfterMs
                            + " must hold");
        }
    }

    /**
     * Returns the settings that a node uses unless told otherwise.
     *
     * @return the settings
     */
    public static NodeDirectorySettings defaults() {
        return new NodeDirectorySettings(500, 1_000, 32, 1, 128, 2_000, 4_000, 2_000, 600_000);
    }

    /**
     * Returns how many nodes elsewhere to write to in a round: more than the setting while messages
     * are small because few nodes are known.
     *
     * @param knownNodes all other nodes
     * @return the fan-out
     */
    int remoteFanOutFor(int knownNodes) {
        int spare = Math.min(MAX_REMOTE_FAN_OUT, digestsPerMessage / Math.max(1, knownNodes));
        return Math.max(remoteFanOut, spare);
    }

    /**
     * Returns how much later than a direct heartbeat an indirect one may arrive.
     *
     * @param indirectNodes nodes whose heartbeats arrive by digest
     * @return milliseconds to add to both silence limits
     */
    long indirectDelayMs(int indirectNodes) {
        long rounds = 1 + (long) indirectNodes / digestsPerMessage;
        return rounds * remoteIntervalMs * DIGEST_ROUNDS_BEFORE_SUSPICION;
    }

    /**
     * Returns how much later a heartbeat arrives when the fan-out does not reach all local nodes.
     *
     * @param localNodes other nodes of the own data centre
     * @return milliseconds to add to both silence limits
     */
    long localDelayMs(int localNodes) {
        long rounds = (long) Math.max(0, localNodes - 1) / localFanOut;
        return rounds * heartbeatIntervalMs * 2;
    }
}
