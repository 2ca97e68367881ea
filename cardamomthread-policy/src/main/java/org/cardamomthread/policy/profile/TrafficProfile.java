package org.cardamomthread.policy.profile;

/**
 * States how much latency, cost and risk a kind of traffic accepts.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param priority how soon the work must start
 * @param firstTokenTargetMs target for the time to the first token, in milliseconds, above zero
 * @param tokenGapTargetMs target for the gap between tokens, in milliseconds, above zero
 * @param costWeight weight of price against lateness, at least zero
 * @param riskWeight weight of work done twice, after a reclaim or a lost cache, at least zero
 */
public record TrafficProfile(
        Priority priority,
        long firstTokenTargetMs,
        long tokenGapTargetMs,
        double costWeight,
        double riskWeight) {

    /** Checks the ranges. */
    public TrafficProfile {
        if (priority == null) {
            throw new IllegalArgumentException("priority must be given");
        }
        if (firstTokenTargetMs <= 0 || tokenGapTargetMs <= 0) {
            throw new IllegalArgumentException(
                    "targets must be above 0 ms, got firstTokenTargetMs "
                            + firstTokenTargetMs
                            + " and tokenGapTargetMs "
                            + tokenGapTargetMs);
        }
        if (!(costWeight >= 0) || !(riskWeight >= 0)) {
            throw new IllegalArgumentException(
                    "weights must be 0 or more, got costWeight "
                            + costWeight
                            + " and riskWeight "
                            + riskWeight);
        }
    }

    /**
     * Returns a profile for calls whose caller is waiting.
     *
     * @param firstTokenTargetMs target for the first token, in milliseconds
     * @return the profile
     */
    public static TrafficProfile urgent(long firstTokenTargetMs) {
        return new TrafficProfile(Priority.URGENT, firstTokenTargetMs, 100, 0.5, 1.0);
    }

    /**
     * Returns a profile for work with a deadline in place of a first-token target.
     *
     * @param firstTokenTargetMs time to the first token that still counts as good, in milliseconds
     * @return the profile
     */
    public static TrafficProfile patient(long firstTokenTargetMs) {
        return new TrafficProfile(Priority.PATIENT, firstTokenTargetMs, 1_000, 2.0, 1.0);
    }
}
