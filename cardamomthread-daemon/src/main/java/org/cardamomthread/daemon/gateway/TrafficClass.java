package org.cardamomthread.daemon.gateway;

/**
 * Holds what a profile asks of the calls that pick it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param isUrgent whether its calls go before patient ones
 * @param firstTokenTargetMs target for the first byte of an answer, in milliseconds
 * @param tokenGapTargetMs target between two tokens, in milliseconds
 * @param priceWeight how much price counts, from 0 to 1
 * @param riskWeight how much the risk of a reclaim counts, from 0 to 1
 * @param maxWaitMs longest wait for an endpoint, in milliseconds
 */
public record TrafficClass(
        boolean isUrgent,
        long firstTokenTargetMs,
        long tokenGapTargetMs,
        double priceWeight,
        double riskWeight,
        long maxWaitMs) {

    private static final long FIRST_BYTE_TARGETS = 4;
    private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 2_000;
    private static final long MAX_FIRST_BYTE_TIMEOUT_MS = 30_000;
    private static final long MIN_SLOW_FIRST_BYTE_MS = 50;
    private static final long SLOW_TARGET_DIVISOR = 3;
    private static final long GAP_TARGETS = 50;
    private static final long MIN_GAP_TIMEOUT_MS = 2_000;
    private static final long MAX_GAP_TIMEOUT_MS = 10_000;

    /**
     * Returns how long an endpoint may take to begin its answer before the attempt is given up.
     *
     * @return milliseconds
     */
    long getFirstByteTimeoutMs() {
        return clamp(
                firstTokenTargetMs * FIRST_BYTE_TARGETS,
                MIN_FIRST_BYTE_TIMEOUT_MS,
                MAX_FIRST_BYTE_TIMEOUT_MS);
    }

    /**
     * Returns how long an answer may stop before its connection counts as silent.
     *
     * @return milliseconds
     */
    long getGapTimeoutMs() {
        return clamp(tokenGapTargetMs * GAP_TARGETS, MIN_GAP_TIMEOUT_MS, MAX_GAP_TIMEOUT_MS);
    }

    /**
     * Returns the time below which no first byte counts as slow for its endpoint.
     *
     * @return milliseconds
     */
    public long getSlowFirstByteMs() {
        return Math.max(MIN_SLOW_FIRST_BYTE_MS, firstTokenTargetMs / SLOW_TARGET_DIVISOR);
    }

    /**
     * Returns the name of the priority sent to endpoints.
     *
     * @return {@code urgent} or {@code patient}
     */
    String getPriorityName() {
        return isUrgent ? "urgent" : "patient";
    }

    /** Returns the same class for work that waits behind urgent calls. */
    TrafficClass asPatient() {
        return new TrafficClass(
                false, firstTokenTargetMs, tokenGapTargetMs, priceWeight, riskWeight, maxWaitMs);
    }

    private static long clamp(long value, long low, long high) {
        return Math.max(low, Math.min(high, value));
    }
}
