package org.cardamomthread.policy.admission;

import org.cardamomthread.policy.profile.Priority;

/**
 * Decides whether a second copy of a call is sent before the first one answers.
 *
 * <p>Only urgent, repeatable calls without a first byte are hedged, once, late enough that few
 * calls are, and within the retry budget. Immutable; safe for use by several threads.
 */
public final class HedgingPolicy {

    private static final double SHARE_OF_TARGET = 0.6;

    private final RetryBudget budget;

    /**
     * Creates a policy.
     *
     * @param budget budget from which hedges are paid, shared with retries
     */
    public HedgingPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /**
     * Decides for one call, and spends from the budget if the answer is yes.
     *
     * @param call the call
     * @param nowMs monotonic time, in milliseconds
     * @return true if a second copy is to be sent
     */
    public boolean shouldHedge(HedgeCandidate call, long nowMs) {
        boolean suitable =
                call.repeatable()
                        && call.priority() == Priority.URGENT
                        && !call.firstByteSeen()
                        && !call.hedged();
        if (!suitable || call.otherEndpoints() == 0) {
            return false;
        }
        double lateMs =
                Math.max(call.usualFirstTokenMs(), SHARE_OF_TARGET * call.firstTokenTargetMs());
        return call.elapsedMs() >= lateMs && budget.trySpend(nowMs);
    }

    /**
     * Describes a call that may be hedged. Immutable.
     *
     * @param priority how soon the call must start
     * @param repeatable true if running it twice does no harm
     * @param firstByteSeen true if the answer has begun
     * @param hedged true if a second copy was sent already
     * @param otherEndpoints endpoints with a credit that have not got the call
     * @param elapsedMs time since it was sent, in milliseconds
     * @param usualFirstTokenMs time within which 95 of 100 calls begin, in milliseconds
     * @param firstTokenTargetMs target of the profile, in milliseconds
     */
    public record HedgeCandidate(
            Priority priority,
            boolean repeatable,
            boolean firstByteSeen,
            boolean hedged,
            int otherEndpoints,
            double elapsedMs,
            double usualFirstTokenMs,
            double firstTokenTargetMs) {}
}
