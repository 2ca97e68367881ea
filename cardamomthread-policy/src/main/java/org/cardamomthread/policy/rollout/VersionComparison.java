package org.cardamomthread.policy.rollout;

import java.util.Objects;
import java.util.function.ToLongFunction;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.policy.rollout.SequentialTest.EventCounts;

/**
 * Compares the new version with the old on each route and each measure, from each epoch until now.
 *
 * <p>A fault that begins late would drown in the good calls before it. So the evidence is weighed
 * for each epoch in which the fault may have begun; the false-alarm rate is divided among routes,
 * measures and epochs, of which the first gets half. Immutable and safe for use by several threads.
 */
final class VersionComparison {

    private static final double FAILURE_TOLERANCE = 0.01;
    private static final double SLOW_TOLERANCE = 0.05;
    private static final double FAILURE_SIGN = 2; // evidence that calls for a closer look
    private static final double SLOW_SIGN = 2.5;
    private static final double FIRST_EPOCH_WEIGHT = 0.5;
    private static final int RECENT_EPOCHS = 3;

    private static final Measure[] MEASURES = {
        new Measure(
                RolloutReason.MORE_FAILURES,
                CallCounts::calls,
                CallCounts::failures,
                FAILURE_TOLERANCE,
                FAILURE_SIGN),
        new Measure(
                RolloutReason.SLOWER_FIRST_TOKEN,
                CallCounts::timedCalls,
                CallCounts::slowFirstTokens,
                SLOW_TOLERANCE,
                SLOW_SIGN),
        new Measure(
                RolloutReason.LONGER_TOKEN_GAP,
                CallCounts::timedCalls,
                CallCounts::slowTokenGaps,
                SLOW_TOLERANCE,
                SLOW_SIGN),
    };

    /** Returns the strongest finding against the new version. */
    Finding compare(RolloutPlan plan, MoveEvidence evidence, long nowMs) {
        int epochs = plan.epochAt(nowMs) + 1;
        int routes = Math.max(1, evidence.routes().size());
        Finding strongest = Finding.NOTHING;
        for (RouteId route : evidence.routes()) {
            CallCounts[] oldCounts = evidence.byEpoch(route, VersionRole.OLD, epochs);
            CallCounts[] newCounts = evidence.byEpoch(route, VersionRole.NEW, epochs);
            for (Measure measure : MEASURES) {
                Finding finding = compare(route, measure, oldCounts, newCounts);
                strongest = strongest.stronger(finding, routes * MEASURES.length);
            }
        }
        return strongest;
    }

    private static Finding compare(
            RouteId route, Measure measure, CallCounts[] oldCounts, CallCounts[] newCounts) {
        double proof = 0;
        double recent = 0;
        CallCounts oldSinceStart = CallCounts.NONE;
        for (CallCounts counts : oldCounts) {
            oldSinceStart = oldSinceStart.plus(counts);
        }
        CallCounts oldSum = CallCounts.NONE;
        CallCounts newSum = CallCounts.NONE;
        for (int from = newCounts.length - 1; from >= 0; from--) {
            oldSum = oldSum.plus(oldCounts[from]);
            newSum = newSum.plus(newCounts[from]);
            if (newCounts[from].calls() == 0 && from > 0) {
                continue; // a fault that began here shows as one that began with the next calls
            }
            double evidence = measure.proof(newSum, oldSum, oldSinceStart);
            double weight =
                    from == 0
                            ? FIRST_EPOCH_WEIGHT
                            : (1 - FIRST_EPOCH_WEIGHT) / (RolloutPlan.EPOCHS - 1);
            proof += weight * evidence;
            if (newCounts.length - from <= RECENT_EPOCHS) {
                recent = Math.max(recent, measure.suspicion(newSum, oldSum, oldSinceStart));
            }
        }
        return new Finding(route, measure.reason(), proof, route, recent);
    }

    /**
     * Pairs a measure with its test. Immutable.
     *
     * @param reason reason for taking a version back by this measure
     * @param calls counts the calls that can show the event
     * @param events counts the events
     * @param proof weighs them for a verdict
     * @param suspicion weighs them for a closer look
     * @param sign weight that calls for a closer look
     */
    private record Measure(
            RolloutReason reason,
            ToLongFunction<CallCounts> calls,
            ToLongFunction<CallCounts> events,
            SequentialTest proof,
            SequentialTest suspicion,
            double sign) {

        Measure(
                RolloutReason reason,
                ToLongFunction<CallCounts> calls,
                ToLongFunction<CallCounts> events,
                double tolerance,
                double sign) {
            this(
                    reason,
                    calls,
                    events,
                    MixtureSequentialTest.proof(tolerance),
                    MixtureSequentialTest.suspicion(tolerance),
                    sign);
        }

        double proof(CallCounts newSum, CallCounts oldSum, CallCounts oldSinceStart) {
            return proof.evidence(count(newSum), count(oldSum), count(oldSinceStart));
        }

        double suspicion(CallCounts newSum, CallCounts oldSum, CallCounts oldSinceStart) {
            return suspicion.evidence(count(newSum), count(oldSum), count(oldSinceStart)) / sign;
        }

        private EventCounts count(CallCounts counts) {
            return new EventCounts(calls.applyAsLong(counts), events.applyAsLong(counts));
        }
    }

    /**
     * Holds the evidence against the new version. Immutable.
     *
     * @param route the route, or null without any evidence
     * @param reason the measure
     * @param proof evidence divided by the number of tests; above 1/a it proves a fault
     * @param recentRoute the route with the greatest evidence of the last epochs, or null
     * @param recent greatest evidence of the last epochs; from 1 on it calls for a closer look
     */
    record Finding(
            RouteId route, RolloutReason reason, double proof, RouteId recentRoute, double recent) {

        static final Finding NOTHING = new Finding(null, RolloutReason.STEP_PASSED, 0, null, 0);

        /** Joins findings of several tests, whose number divides the proof. */
        Finding stronger(Finding other, int tests) {
            Objects.requireNonNull(other, "other must be given");
            double otherProof = other.proof / tests;
            boolean isStronger = otherProof > proof;
            return new Finding(
                    isStronger ? other.route : route,
                    isStronger ? other.reason : reason,
                    Math.max(proof, otherProof),
                    other.recent > recent ? other.recentRoute : recentRoute,
                    Math.max(recent, other.recent));
        }
    }
}
