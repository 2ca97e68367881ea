package org.cardamomthread.policy.rollout;

/**
 * Computes the evidence as a mixture of likelihood ratios against the highest acceptable event
 * rate.
 *
 * <p>The acceptable rate is an upper bound on the event rate of the old version plus a tolerance.
 * The bound covers the time since the start of the rollout, or only the same period if events
 * occurred in it and its bound is higher; a fault that affects both versions at once therefore does
 * not count against the new one. For every lower rate the mixture is a supermartingale, so by
 * Ville's inequality the probability that it ever exceeds 1/a is at most a. Immutable and
 * thread-safe.
 */
final class MixtureSequentialTest implements SequentialTest {

    /** Event rates of the mixture, as fractions of the range from the acceptable rate to 1. */
    private static final double[] ALTERNATIVE_FRACTIONS = {0.10, 0.25, 0.5, 0.75, 0.99};

    /** Distance of the upper bound from the estimated rate, in standard deviations. */
    private static final double BOUND_STANDARD_DEVIATIONS = 2;

    // Pseudo-counts added to the old version; more prior calls assume rarer events.
    private static final double PRIOR_EVENTS = 0.5;
    private static final double ROLLBACK_PRIOR_CALLS = 1;
    private static final double SUSPICION_PRIOR_CALLS = 50;
    private static final double MAX_ACCEPTABLE_RATE = 0.95;

    private final double tolerance;
    private final double priorCalls;

    private MixtureSequentialTest(double tolerance, double priorCalls) {
        if (!(tolerance > 0 && tolerance < 1)) {
            throw new IllegalArgumentException(
                    "tolerance " + tolerance + " must be greater than 0 and less than 1");
        }
        this.tolerance = tolerance;
        this.priorCalls = priorCalls;
    }

    /**
     * Creates a test with a bounded false-alarm rate, which makes no assumption about the old
     * version. It decides on rollbacks.
     *
     * @param tolerance acceptable increase of the event rate, above 0 and below 1
     */
    static MixtureSequentialTest forRollback(double tolerance) {
        return new MixtureSequentialTest(tolerance, ROLLBACK_PRIOR_CALLS);
    }

    /**
     * Creates a test that assumes events to be rare for the old version even before many of its
     * calls are known. It detects a fault within the first calls, but its false-alarm rate is not
     * bounded. It decides on probes.
     *
     * @param tolerance acceptable increase of the event rate, above 0 and below 1
     */
    static MixtureSequentialTest forSuspicion(double tolerance) {
        return new MixtureSequentialTest(tolerance, SUSPICION_PRIOR_CALLS);
    }

    @Override
    public double evidence(
            EventCounts newCounts, EventCounts oldCounts, EventCounts oldSinceStart) {
        long newEvents = newCounts.events();
        long callsWithoutEvent = newCounts.calls() - newEvents;
        if (newEvents == 0) {
            return 0;
        }
        double acceptableRate = upperBound(oldSinceStart);
        if (oldCounts.events() > 0) {
            acceptableRate = Math.max(acceptableRate, upperBound(oldCounts));
        }
        double sum = 0;
        for (double alternative : ALTERNATIVE_FRACTIONS) {
            double rate = acceptableRate + (1 - acceptableRate) * alternative;
            double logRatio =
                    newEvents * Math.log(rate / acceptableRate)
                            + callsWithoutEvent * Math.log((1 - rate) / (1 - acceptableRate));
            sum += Math.exp(logRatio);
        }
        return sum / ALTERNATIVE_FRACTIONS.length;
    }

    private double upperBound(EventCounts oldCounts) {
        double rate = (oldCounts.events() + PRIOR_EVENTS) / (oldCounts.calls() + priorCalls);
        double deviation = Math.sqrt(rate * (1 - rate) / (oldCounts.calls() + priorCalls));
        return Math.min(
                MAX_ACCEPTABLE_RATE, rate + BOUND_STANDARD_DEVIATIONS * deviation + tolerance);
    }
}
