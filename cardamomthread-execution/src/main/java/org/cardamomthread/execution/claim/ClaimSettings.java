package org.cardamomthread.execution.claim;

/**
 * Retention times of claims, which must be the same on every replica.
 *
 * <p>Immutable and thread-safe.
 *
 * @param inProgressMs age at which the outcome of an open claim becomes unknown
 * @param answerMs how long a stored response is retained, counted from the claim
 * @param refusalMs how long a used key is rejected, counted from the claim
 */
public record ClaimSettings(long inProgressMs, long answerMs, long refusalMs) {

    private static final long MINUTE_MS = 60_000;
    private static final long DAY_MS = 24 * 60 * MINUTE_MS;

    /** Validates the order of the times. */
    public ClaimSettings {
        if (inProgressMs <= 0 || answerMs < inProgressMs || refusalMs < answerMs) {
            throw new IllegalArgumentException(
                    "claim retention times are out of order; expected 0 < inProgressMs "
                            + inProgressMs
                            + " <= answerMs "
                            + answerMs
                            + " <= refusalMs "
                            + refusalMs
                            + " ms");
        }
    }

    /**
     * Returns the default settings.
     *
     * @return 15 minutes in progress, one day for responses and 30 days for used keys
     */
    public static ClaimSettings defaults() {
        return new ClaimSettings(15 * MINUTE_MS, DAY_MS, 30 * DAY_MS);
    }
}
