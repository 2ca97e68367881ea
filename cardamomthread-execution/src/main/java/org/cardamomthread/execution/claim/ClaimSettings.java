package org.cardamomthread.execution.claim;

/**
 * Holds how long claims are kept; the same on every replica.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param inProgressMs after which a claim without an outcome counts as unknown
 * @param answerMs how long an answer is kept
 * @param refusalMs how long a used key is refused after its claim
 */
public record ClaimSettings(long inProgressMs, long answerMs, long refusalMs) {

    private static final long MINUTE_MS = 60_000;
    private static final long DAY_MS = 24 * 60 * MINUTE_MS;

    /** Checks the order of the times. */
    public ClaimSettings {
        if (inProgressMs <= 0 || answerMs < inProgressMs || refusalMs < answerMs) {
            throw new IllegalArgumentException(
                    "0 < inProgressMs "
                            + inProgressMs
                            + " <= answerMs "
                            + answerMs
                            + " <= refusalMs "
                            + refusalMs
                            + " must hold");
        }
    }

    /**
     * Returns the settings that a node uses unless told otherwise.
     *
     * @return the settings
     */
    public static ClaimSettings defaults() {
        return new ClaimSettings(15 * MINUTE_MS, DAY_MS, 30 * DAY_MS);
    }
}
