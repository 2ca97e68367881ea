package org.cardamomthread.daemon.duty;

import org.cardamomthread.daemon.view.generated.VersionCounts;

/**
 * Determines whether a canary version performs worse than the other versions. Stateless and
 * thread-safe.
 */
public final class CanaryEvaluator {

    /** Minimum number of failures; with fewer, chance is a likely explanation. */
    private static final long MIN_FAILURES = 5;

    /**
     * Number of standard deviations by which the failures may exceed the expected ones; gives about
     * one false alarm in 700.
     */
    private static final double MAX_FAILURE_DEVIATIONS = 3.0;

    /** Minimum number of responses on both sides for a comparison of mean response times. */
    private static final long MIN_TIMED_RESPONSES = 10;

    /**
     * Maximum ratio of the mean response times; bad versions are several times slower, and the mean
     * over requests of one service varies by less.
     */
    private static final double MAX_SLOWDOWN_FACTOR = 2.2;

    private CanaryEvaluator() {}

    /**
     * Compares the results of a canary version with those of the other versions.
     *
     * @param canary the results of the canary version
     * @param former the results of the other versions in the same period
     * @return true if the canary version fails more often or is slower
     */
    public static boolean isRegression(VersionCounts canary, VersionCounts former) {
        return hasExcessFailures(canary, former) || isSlower(canary, former);
    }

    private static boolean hasExcessFailures(VersionCounts canary, VersionCounts former) {
        double formerFailureRate = (former.getFailures() + 1.0) / (former.getAnswers() + 2.0);
        double expectedFailures = canary.getAnswers() * formerFailureRate;
        double deviation = Math.sqrt(expectedFailures * (1 - formerFailureRate)) + 1;
        return canary.getFailures() >= MIN_FAILURES
                && canary.getFailures() > expectedFailures + MAX_FAILURE_DEVIATIONS * deviation;
    }

    private static boolean isSlower(VersionCounts canary, VersionCounts former) {
        boolean canCompare =
                canary.getAnswers() >= MIN_TIMED_RESPONSES
                        && former.getAnswers() >= MIN_TIMED_RESPONSES;
        return canCompare
                && (double) canary.getTotalMs() / canary.getAnswers()
                        > MAX_SLOWDOWN_FACTOR * former.getTotalMs() / former.getAnswers();
    }
}
