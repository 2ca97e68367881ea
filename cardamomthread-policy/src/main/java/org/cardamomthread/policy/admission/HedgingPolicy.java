package org.cardamomthread.policy.admission;

import org.cardamomthread.policy.profile.Priority;

/**
 * Decides whether a call is hedged, that is, sent to a second endpoint before the first one
 * responds.
 *
 * <p>Only urgent, idempotent calls that have not received a first byte are hedged, at most once,
 * and only within the retry budget. The delay before the hedge exceeds the usual time to the first
 * token, so that few calls are hedged. Immutable and thread-safe.
 */
public final class HedgingPolicy {

    /** Share of the first-token target that must have elapsed before a call is hedged. */
    private static final double MIN_ELAPSED_TARGET_SHARE = 0.6;

    private final RetryBudget budget;

    /**
     * Creates a policy.
     *
     * @param budget budget that hedges consume, shared with retries
     */
    public HedgingPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Returns whether to hedge a call; if so, consumes from the budget.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return true if the call should be sent to a second endpoint
     */
    public boolean shouldHedge(HedgeCandidate call, long nowMs) {
        boolean eligible =
                call.idempotent()
                        && call.priority() == Priority.URGENT
                        && !call.firstByteReceived()
                        && !call.hedged();
        if (!eligible || call.otherEndpoints() == 0) {
            return false;
        }
        double hedgeAfterMs =
                Math.max(
                        call.firstTokenP95Ms(),
                        MIN_ELAPSED_TARGET_SHARE * call.firstTokenTargetMs());
        return call.elapsedMs() >= hedgeAfterMs && budget.tryConsume(nowMs);
    }

    /**
     * Describes a call that may be hedged. Immutable.
     *
     * @param priority priority of the call
     * @param idempotent whether the call may be executed twice
     * @param firstByteReceived whether the first byte of the response has arrived
     * @param hedged whether the call was hedged already
     * @param otherEndpoints number of endpoints with a credit to which the call was not sent
     * @param elapsedMs time since the call was sent, in milliseconds
     * @param firstTokenP95Ms 95th percentile of the time to the first token, in milliseconds
     * @param firstTokenTargetMs target for the time to the first token, in milliseconds
     */
    public record HedgeCandidate(
            Priority priority,
            boolean idempotent,
            boolean firstByteReceived,
            boolean hedged,
            int otherEndpoints,
            double elapsedMs,
            double firstTokenP95Ms,
            double firstTokenTargetMs) {}
}
