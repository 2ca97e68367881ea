package org.cardamomthread.policy.rollout;

/**
 * Weighs evidence by a mixture of likelihood ratios against the greatest event rate that still
 * counts as good.
 *
 * <p>That rate is an upper bound for the old version's rate since the start of the move, or over
 * the same period if that is higher and shows events, plus a tolerance: what befalls both versions
 * at once does not count against the new one. The mixture of likelihood ratios is a supermartingale
 * for every smaller rate, so by Ville's inequality it exceeds 1/a at any time with a probability of
 * at most a. Immutable and safe for use by several threads.
 */
final class MixtureSequentialTest implements SequentialTest {

    private static final double[] ALTERNATIVES = {0.10, 0.25, 0.5, 0.75, 0.99};
    private static final double BOUND_DEVIATIONS = 2;
    private static final double PRIOR_EVENTS = 0.5;
    private static final double PRIOR_CALLS = 1;
    private static final double TRUSTING_PRIOR_CALLS = 50;
    private static final double GREATEST_RATE = 0.95;

    private final double tolerance;
    private final double priorCalls;

    private MixtureSequentialTest(double tolerance, double priorCalls) {
        if (!(tolerance > 0 && tolerance < 1)) {
            throw new IllegalArgumentException(
                    "tolerance " + tolerance + " must lie between 0 and 1");
        }
        this.tolerance = tolerance;
        this.priorCalls = priorCalls;
    }

    /**
     * Creates a test that assumes nothing of the old version, for proof.
     *
     * @param tolerance difference of rates that still counts as good, above 0 and below 1
     */
    static MixtureSequentialTest proof(double tolerance) {
        return new MixtureSequentialTest(tolerance, PRIOR_CALLS);
    }

    /**
     * Creates a test that expects events to be rare for the old version even before it has seen
     * many of its calls. It notices a fault of the first calls, but bounds no false-alarm rate.
     *
     * @param tolerance difference of rates that still counts as good, above 0 and below 1
     */
    static MixtureSequentialTest suspicion(double tolerance) {
        return new MixtureSequentialTest(tolerance, TRUSTING_PRIOR_CALLS);
    }

    @Override
    public double evidence(
            EventCounts newCounts, EventCounts oldCounts, EventCounts oldSinceStart) {
        long newEvents = newCounts.events();
        long goodCalls = newCounts.calls() - newEvents;
        if (newEvents == 0) {
            return 0;
        }
        double goodRate = bound(oldSinceStart);
        if (oldCounts.events() > 0) {
            goodRate = Math.max(goodRate, bound(oldCounts));
        }
        double sum = 0;
        for (double alternative : ALTERNATIVES) {
            double rate = goodRate + (1 - goodRate) * alternative;
            double logRatio =
                    newEvents * Math.log(rate / goodRate)
                            + goodCalls * Math.log((1 - rate) / (1 - goodRate));
            sum += Math.exp(logRatio);
        }
        return sum / ALTERNATIVES.length;
    }

    private double bound(EventCounts old) {
        double rate = (old.events() + PRIOR_EVENTS) / (old.calls() + priorCalls);
        double deviation = Math.sqrt(rate * (1 - rate) / (old.calls() + priorCalls));
        return Math.min(GREATEST_RATE, rate + BOUND_DEVIATIONS * deviation + tolerance);
    }
}
