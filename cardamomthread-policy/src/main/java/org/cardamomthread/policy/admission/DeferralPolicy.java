package org.cardamomthread.policy.admission;

/**
 * Decides when a deferrable job starts.
 *
 * <p>A job starts at once if capacity is free and its price, reduced by what a cached prompt saves,
 * is acceptable: the cache entry will not last, so waiting for a lower price could cost more. The
 * acceptable price rises with the elapsed share of the slack. Close to the deadline the job starts
 * at any price, early enough to be run twice, because its host may be reclaimed. Stateless and
 * thread-safe.
 */
public final class DeferralPolicy {

    /**
     * Number of runs for which time is kept before the deadline, as a reclaim may interrupt the
     * first.
     */
    private static final double RESERVED_RUNS = 2;

    private static final long DEADLINE_MARGIN_MS = 10_000;
    private static final double MIN_FREE_CAPACITY_SHARE = 0.25;
    private static final long MAX_HOLD_MS = 30_000;

    /**
     * Decides whether a job starts now.
     *
     * @param market current prices and load
     * @param nowMs current time on the clock of the job, in milliseconds
     * @return decision to start the job or to hold it
     */
    public Decision decide(DeferrableJob job, MarketSnapshot market, long nowMs) {
        long latestStartMs =
                job.deadlineMs()
                        - (long) (RESERVED_RUNS * job.expectedRunMs())
                        - DEADLINE_MARGIN_MS;
        if (nowMs >= latestStartMs) {
            return new Decision(Action.START_BY_DEADLINE, nowMs);
        }
        double elapsedSlackShare =
                (double) (nowMs - job.acceptedAtMs())
                        / Math.max(1, latestStartMs - job.acceptedAtMs());
        double acceptedPrice =
                market.lowerQuartilePricePerHour()
                        + elapsedSlackShare
                                * elapsedSlackShare
                                * (market.upperQuartilePricePerHour()
                                        - market.lowerQuartilePricePerHour());
        boolean hasFreeCapacity =
                market.freeCapacityShare() >= MIN_FREE_CAPACITY_SHARE * (1 - elapsedSlackShare);
        double priceWithCache = market.cheapestPricePerHour() * (1 - market.cacheSavingsShare());
        if (hasFreeCapacity && priceWithCache <= acceptedPrice) {
            return new Decision(Action.START_CHEAP, nowMs);
        }
        return new Decision(Action.HOLD, Math.min(latestStartMs, nowMs + MAX_HOLD_MS));
    }

    /** Actions for a deferrable job. */
    public enum Action {
        /** Start now, because the price is low enough. */
        START_CHEAP,
        /** Start now, because the deadline could be missed otherwise. */
        START_BY_DEADLINE,
        /** Wait and decide again later. */
        HOLD
    }

    /**
     * States whether a job starts and, if not, when to decide again. Immutable.
     *
     * @param action action for the job
     * @param nextDecisionAtMs time of the next decision if the job is held, in milliseconds
     */
    public record Decision(Action action, long nextDecisionAtMs) {}
}
