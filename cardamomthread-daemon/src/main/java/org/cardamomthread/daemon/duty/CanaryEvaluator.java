package org.cardamomthread.daemon.duty;

import org.cardamomthread.daemon.view.generated.VersionCounts;

/** Judges whether a version on trial is bad. Stateless and safe for use by several threads. */
public final class CanaryEvaluator {

    /** Failures below which chance is no rare explanation. */
    private static final long MIN_FAILURES = 5;

    /** Standard deviations beyond the former version's failures; about one false alarm in 700. */
    private static final double MAX_FAILURE_DEVIATIONS = 3.0;

    /** Answers from which a mean time is compared. */
    private static final long MIN_TIMED_RESPONSES = 10;

    /**
     * A bad version is several times slower; requests of one service differ by less in the mean.
     */
    private static final double MAX_SLOWDOWN_FACTOR = 2.2;

    private CanaryEvaluator() {}

    /**
     * Compares a version on trial with the others.
     *
     * @param trial results of the version on trial
     * @param former results of the other versions in the same time
     * @return true if the version on trial is bad
     */
    public static boolean isRegression(VersionCounts trial, VersionCounts former) {
        return hasExcessFailures(trial, former) || isSlower(trial, former);
    }

    private static boolean hasExcessFailures(VersionCounts trial, VersionCounts former) {
        double usualShare = (former.getFailures() + 1.0) / (former.getAnswers() + 2.0);
        double expected = trial.getAnswers() * usualShare;
        double deviation = Math.sqrt(expected * (1 - usualShare)) + 1;
        return trial.getFailures() >= MIN_FAILURES
                && trial.getFailures() > expected + MAX_FAILURE_DEVIATIONS * deviation;
    }

    private static boolean isSlower(VersionCounts trial, VersionCounts former) {
        boolean canCompare =
                trial.getAnswers() >= MIN_TIMED_RESPONSES
                        && former.getAnswers() >= MIN_TIMED_RESPONSES;
        return canCompare
                && (double) trial.getTotalMs() / trial.getAnswers()
                        > MAX_SLOWDOWN_FACTOR * former.getTotalMs() / former.getAnswers();
    }
}
