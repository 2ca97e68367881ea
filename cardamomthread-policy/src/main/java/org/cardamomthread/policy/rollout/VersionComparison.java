package org.cardamomthread.policy.rollout;

import java.util.Objects;
import java.util.function.ToLongFunction;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.policy.rollout.SequentialTest.EventCounts;

/**
 * Compares the new version with the old one for each route and measure, over every period that
 * starts at an epoch boundary and ends now.
 *
 * <p>The good calls before a late fault would dilute its evidence. The evidence is therefore
 * computed for each epoch in which the fault may have started. The false-alarm rate is divided
 * among routes, measures and epochs; the first epoch gets half of it. Immutable and thread-safe.
 */
final class VersionComparison {

    // Increases of the event rate that are still acceptable.
    private static final double FAILURE_TOLERANCE = 0.01;
    private static final double SLOW_TOLERANCE = 0.05;

    /** Evidence of more failures that starts a probe. */
    private static final double FAILURE_SUSPICION_THRESHOLD = 2;

    /** Evidence of higher latency that starts a probe. */
    private static final double SLOW_SUSPICION_THRESHOLD = 2.5;

    private static final double FIRST_EPOCH_WEIGHT = 0.5;
    private static final int RECENT_EPOCHS = 3;

    private static final Measure[] MEASURES = {
        new Measure(
                RolloutReason.MORE_FAILURES,
                CallCounts::calls,
                CallCounts::failures,
                FAILURE_TOLERANCE,
                FAILURE_SUSPICION_THRESHOLD),
        new Measure(
                RolloutReason.SLOWER_FIRST_TOKEN,
                CallCounts::timedCalls,
                CallCounts::slowFirstTokens,
                SLOW_TOLERANCE,
                SLOW_SUSPICION_THRESHOLD),
        new Measure(
                RolloutReason.LONGER_TOKEN_GAP,
                CallCounts::timedCalls,
                CallCounts::slowTokenGaps,
                SLOW_TOLERANCE,
                SLOW_SUSPICION_THRESHOLD),
    };

    /** Returns the strongest evidence against the new version over all routes and measures. */
    Finding compare(RolloutPlan plan, RolloutEvidence evidence, long nowMs) {
        int epochs = plan.epochAt(nowMs) + 1;
        int routes = Math.max(1, evidence.routes().size());
        Finding strongest = Finding.NONE;
        for (RouteId route : evidence.routes()) {
            CallCounts[] oldCounts = evidence.countsByEpoch(route, VersionRole.OLD, epochs);
            CallCounts[] newCounts = evidence.countsByEpoch(route, VersionRole.NEW, epochs);
            for (Measure measure : MEASURES) {
                Finding finding = compare(route, measure, oldCounts, newCounts);
                strongest = strongest.combine(finding, routes * MEASURES.length);
            }
        }
        return strongest;
    }

    private static Finding compare(
            RouteId route, Measure measure, CallCounts[] oldCounts, CallCounts[] newCounts) {
        double totalEvidence = 0;
        double recentSuspicion = 0;
        CallCounts oldSinceStart = CallCounts.NONE;
        for (CallCounts counts : oldCounts) {
            oldSinceStart = oldSinceStart.plus(counts);
        }
        CallCounts oldSum = CallCounts.NONE;
        CallCounts newSum = CallCounts.NONE;
        for (int startEpoch = newCounts.length - 1; startEpoch >= 0; startEpoch--) {
            oldSum = oldSum.plus(oldCounts[startEpoch]);
            newSum = newSum.plus(newCounts[startEpoch]);
            if (newCounts[startEpoch].calls() == 0 && startEpoch > 0) {
                continue; // a fault that started here is covered by the next epoch with new calls
            }
            double evidence = measure.rollbackEvidence(newSum, oldSum, oldSinceStart);
            double weight =
                    startEpoch == 0
                            ? FIRST_EPOCH_WEIGHT
                            : (1 - FIRST_EPOCH_WEIGHT) / (RolloutPlan.EPOCHS - 1);
            totalEvidence += weight * evidence;
            if (newCounts.length - startEpoch <= RECENT_EPOCHS) {
                recentSuspicion =
                        Math.max(
                                recentSuspicion,
                                measure.suspicionLevel(newSum, oldSum, oldSinceStart));
            }
        }
        return new Finding(route, measure.reason(), totalEvidence, route, recentSuspicion);
    }

    /**
     * Pairs a measure of call quality with its statistical tests. Immutable.
     *
     * @param reason reason reported when this measure causes a rollback
     * @param calls extracts the number of calls in which the event could occur
     * @param events extracts the number of calls in which the event occurred
     * @param rollbackTest test whose false-alarm rate is bounded, which decides on a rollback
     * @param suspicionTest more sensitive test without such a bound, which decides on a probe
     * @param suspicionThreshold evidence of the suspicion test at which a probe starts
     */
    private record Measure(
            RolloutReason reason,
            ToLongFunction<CallCounts> calls,
            ToLongFunction<CallCounts> events,
            SequentialTest rollbackTest,
            SequentialTest suspicionTest,
            double suspicionThreshold) {

        Measure(
                RolloutReason reason,
                ToLongFunction<CallCounts> calls,
                ToLongFunction<CallCounts> events,
                double tolerance,
                double suspicionThreshold) {
            this(
                    reason,
                    calls,
                    events,
                    MixtureSequentialTest.forRollback(tolerance),
                    MixtureSequentialTest.forSuspicion(tolerance),
                    suspicionThreshold);
        }

        double rollbackEvidence(CallCounts newSum, CallCounts oldSum, CallCounts oldSinceStart) {
            return rollbackTest.evidence(
                    eventCounts(newSum), eventCounts(oldSum), eventCounts(oldSinceStart));
        }

        double suspicionLevel(CallCounts newSum, CallCounts oldSum, CallCounts oldSinceStart) {
            return suspicionTest.evidence(
                            eventCounts(newSum), eventCounts(oldSum), eventCounts(oldSinceStart))
                    / suspicionThreshold;
        }

        private EventCounts eventCounts(CallCounts counts) {
            return new EventCounts(calls.applyAsLong(counts), events.applyAsLong(counts));
        }
    }

    /**
     * Holds the strongest evidence against the new version. Immutable.
     *
     * @param route route with the strongest evidence, or null without any evidence
     * @param reason reason that belongs to the measure with the strongest evidence
     * @param evidence e-value divided by the number of tests; a value of at least 1/a proves a
     *     fault at false-alarm rate a
     * @param suspectedRoute route with the highest suspicion in the recent epochs, or null
     * @param recentSuspicion highest suspicion in the recent epochs, relative to its threshold; 1
     *     or more starts a probe
     */
    record Finding(
            RouteId route,
            RolloutReason reason,
            double evidence,
            RouteId suspectedRoute,
            double recentSuspicion) {

        static final Finding NONE = new Finding(null, RolloutReason.STEP_PASSED, 0, null, 0);

        /**
         * Returns the stronger of two findings; the evidence of the other one is divided by the
         * number of tests (Bonferroni correction).
         */
        Finding combine(Finding other, int testCount) {
            Objects.requireNonNull(other, "other must not be null");
            double otherEvidence = other.evidence / testCount;
            boolean isStronger = otherEvidence > evidence;
            return new Finding(
                    isStronger ? other.route : route,
                    isStronger ? other.reason : reason,
                    Math.max(evidence, otherEvidence),
                    other.recentSuspicion > recentSuspicion ? other.suspectedRoute : suspectedRoute,
                    Math.max(recentSuspicion, other.recentSuspicion));
        }
    }
}
