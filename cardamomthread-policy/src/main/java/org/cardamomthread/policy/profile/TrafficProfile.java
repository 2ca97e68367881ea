package org.cardamomthread.policy.profile;

/**
 * Describes the latency, cost and risk that a kind of traffic accepts.
 *
 * <p>Immutable and thread-safe.
 *
 * @param priority priority of the work
 * @param firstTokenTargetMs target for the time to the first token, in milliseconds, above zero
 * @param tokenGapTargetMs target for the gap between tokens, in milliseconds, above zero
 * @param costWeight weight of the price penalty relative to the latency penalty, at least zero
 * @param riskWeight weight of the penalty for work done twice, after a reclaim or a lost cache
 *     entry, at least zero
 */
public record TrafficProfile(
        Priority priority,
        long firstTokenTargetMs,
        long tokenGapTargetMs,
        double costWeight,
        double riskWeight) {

    /** Validates the components. */
    public TrafficProfile {
        if (priority == null) {
            throw new IllegalArgumentException("priority must not be null");
        }
        if (firstTokenTargetMs <= 0 || tokenGapTargetMs <= 0) {
            throw new IllegalArgumentException(
                    "firstTokenTargetMs and tokenGapTargetMs must be greater than 0, got "
                            + firstTokenTargetMs
                            + " and "
                            + tokenGapTargetMs);
        }
        if (!(costWeight >= 0) || !(riskWeight >= 0)) {
            throw new IllegalArgumentException(
                    "costWeight and riskWeight must be 0 or more, got "
                            + costWeight
                            + " and "
                            + riskWeight);
        }
    }

    /**
     * Returns a profile for interactive calls, whose caller is waiting.
     *
     * @param firstTokenTargetMs target for the time to the first token, in milliseconds, above zero
     * @return profile with the default weights
     */
    public static TrafficProfile urgent(long firstTokenTargetMs) {
        return new TrafficProfile(Priority.URGENT, firstTokenTargetMs, 100, 0.5, 1.0);
    }

    /**
     * Returns a profile for deferrable work, which has a deadline and no strict first-token target.
     *
     * @param firstTokenTargetMs time to the first token that is still acceptable, in milliseconds,
     *     above zero
     * @return profile with the default weights
     */
    public static TrafficProfile deferrable(long firstTokenTargetMs) {
        return new TrafficProfile(Priority.PATIENT, firstTokenTargetMs, 1_000, 2.0, 1.0);
    }
}
