package org.cardamomthread.execution.claim;

/**
 * Retention times of claims, which must be the same on every replica.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxInProgressMs age after which the outcome of an open claim becomes unknown
 * @param responseRetentionMs how long a stored response is retained, counted from the claim
 * @param keyRetentionMs how long a used key is rejected, counted from the claim
 */
public record ClaimSettings(long maxInProgressMs, long responseRetentionMs, long keyRetentionMs) {

    private static final long MINUTE_MS = 60_000;
    private static final long DAY_MS = 24 * 60 * MINUTE_MS;

    /** Validates the order of the times. */
    public ClaimSettings {
        if (maxInProgressMs <= 0
                || responseRetentionMs < maxInProgressMs
                || keyRetentionMs < responseRetentionMs) {
            throw new IllegalArgumentException(
                    "claim retention times are out of order; expected 0 < maxInProgressMs "
                            + maxInProgressMs
                            + " <= responseRetentionMs "
                            + responseRetentionMs
                            + " <= keyRetentionMs "
                            + keyRetentionMs
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
