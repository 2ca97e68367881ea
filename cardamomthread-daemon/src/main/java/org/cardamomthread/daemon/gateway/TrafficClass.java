package org.cardamomthread.daemon.gateway;

/**
 * Holds the latency, price and risk requirements that a profile sets for its calls.
 *
 * <p>Immutable and thread-safe.
 *
 * @param isUrgent whether the calls go before patient ones
 * @param firstTokenTargetMs target time to the first byte of a response, in milliseconds
 * @param tokenGapTargetMs target time between two tokens, in milliseconds
 * @param priceWeight weight of the price in the selection of an endpoint, from 0 (ignored)
 * @param riskWeight weight of the risk that the host is reclaimed, from 0 (ignored) to 1
 * @param maxWaitMs maximum time to wait for an endpoint, in milliseconds
 */
public record TrafficClass(
        boolean isUrgent,
        long firstTokenTargetMs,
        long tokenGapTargetMs,
        double priceWeight,
        double riskWeight,
        long maxWaitMs) {

    private static final long FIRST_BYTE_TIMEOUT_FACTOR = 4;
    private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 2_000;
    private static final long MAX_FIRST_BYTE_TIMEOUT_MS = 30_000;
    private static final long MIN_SLOW_FIRST_BYTE_THRESHOLD_MS = 50;
    private static final long SLOW_FIRST_BYTE_DIVISOR = 3;
    private static final long GAP_TIMEOUT_FACTOR = 50;
    private static final long MIN_GAP_TIMEOUT_MS = 2_000;
    private static final long MAX_GAP_TIMEOUT_MS = 10_000;

    /**
     * Returns the time after which an attempt without a response fails.
     *
     * @return the timeout in milliseconds
     */
    long getFirstByteTimeoutMs() {
        return clamp(
                firstTokenTargetMs * FIRST_BYTE_TIMEOUT_FACTOR,
                MIN_FIRST_BYTE_TIMEOUT_MS,
                MAX_FIRST_BYTE_TIMEOUT_MS);
    }

    /**
     * Returns the time after which an attempt fails if no part of its response arrives.
     *
     * @return the timeout in milliseconds
     */
    long getGapTimeoutMs() {
        return clamp(tokenGapTargetMs * GAP_TIMEOUT_FACTOR, MIN_GAP_TIMEOUT_MS, MAX_GAP_TIMEOUT_MS);
    }

    /**
     * Returns the minimum time to the first byte for which an endpoint may be considered slow.
     *
     * @return the threshold in milliseconds
     */
    public long getSlowFirstByteThresholdMs() {
        return Math.max(
                MIN_SLOW_FIRST_BYTE_THRESHOLD_MS, firstTokenTargetMs / SLOW_FIRST_BYTE_DIVISOR);
    }

    /**
     * Returns the priority as it is sent to endpoints.
     *
     * @return {@code urgent} or {@code patient}
     */
    String getPriorityName() {
        return isUrgent ? "urgent" : "patient";
    }

    /** Returns a copy whose calls yield to urgent ones. */
    TrafficClass withPatientPriority() {
        return new TrafficClass(
                false, firstTokenTargetMs, tokenGapTargetMs, priceWeight, riskWeight, maxWaitMs);
    }

    private static long clamp(long value, long min, long max) {
        return Math.max(min, Math.min(max, value));
    }
}
