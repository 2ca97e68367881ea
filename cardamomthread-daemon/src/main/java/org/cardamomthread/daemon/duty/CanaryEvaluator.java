package org.cardamomthread.daemon.duty;

import java.util.Optional;
import org.cardamomthread.daemon.view.generated.VersionCounts;

/**
 * Determines whether a canary version performs worse than the other versions. Stateless and
 * thread-safe.
 */
final class CanaryEvaluator {

    /** Minimum number of bad results; with fewer, chance is a likely explanation. */
    private static final long MIN_BAD_RESULTS = 5;

    /**
     * Maximum probability of that many bad results from a version as good as the others. A move is
     * evaluated over many periods, so the rate of false alarms of a move is higher.
     */
    private static final double MAX_FALSE_ALARM_PROBABILITY = 1e-4;

    /** Probability of the bad results below which a version is suspected. */
    private static final double SUSPICION_PROBABILITY = 0.05;

    /**
     * Increase of the rate of slow responses that is acceptable, as the prompt caches of new
     * endpoints are empty.
     */
    private static final double SLOW_TOLERANCE = 0.05;

    /** The ways in which a version can be worse. */
    enum Regression {
        /** It fails more often. */
        MORE_FAILURES,
        /** More of its responses take several times as long as is usual on their route. */
        MORE_SLOW_RESPONSES
    }

    private CanaryEvaluator() {}

    /**
     * Compares the results of a canary version with those of the other versions.
     *
     * @param canary the results of the canary version
     * @param former the results of the other versions
     * @return how the canary version is worse, or empty if it is not known to be
     */
    static Optional<Regression> findRegression(VersionCounts canary, VersionCounts former) {
        return findRegression(canary, former, MAX_FALSE_ALARM_PROBABILITY);
    }

    /**
     * Returns whether a canary version seems to be worse, though that may be chance.
     *
     * @param canary the results of the canary version
     * @param former the results of the other versions
     * @return true if more results are needed to tell
     */
    static boolean isSuspected(VersionCounts canary, VersionCounts former) {
        return findRegression(canary, former, SUSPICION_PROBABILITY).isPresent();
    }

    private static Optional<Regression> findRegression(
            VersionCounts canary, VersionCounts former, double maxProbability) {
        boolean failsMore =
                isExcessive(
                        canary.getFailures(),
                        canary.getAnswers(),
                        former.getFailures(),
                        former.getAnswers(),
                        0,
                        maxProbability);
        if (failsMore) {
            return Optional.of(Regression.MORE_FAILURES);
        }
        return isExcessive(
                        canary.getSlow(),
                        canary.getTimed(),
                        former.getSlow(),
                        former.getTimed(),
                        SLOW_TOLERANCE,
                        maxProbability)
                ? Optional.of(Regression.MORE_SLOW_RESPONSES)
                : Optional.empty();
    }

    private static boolean isExcessive(
            long canaryBad,
            long canaryResults,
            long formerBad,
            long formerResults,
            double tolerance,
            double maxProbability) {
        if (canaryBad < MIN_BAD_RESULTS) {
            return false;
        }
        double acceptableRate = (formerBad + 1.0) / (formerResults + 2.0) + tolerance;
        return acceptableRate < 1
                && upperTailProbability(canaryBad, canaryResults, acceptableRate) < maxProbability;
    }

    /** Returns the probability of at least {@code count} events in {@code trials}. */
    private static double upperTailProbability(long count, long trials, double rate) {
        double probability = Math.pow(1 - rate, trials);
        double below = 0;
        for (long events = 0; events < count; events++) {
            below += probability;
            probability *= (double) (trials - events) / (events + 1) * rate / (1 - rate);
        }
        return Math.max(0, 1 - below);
    }
}
