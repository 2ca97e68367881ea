package org.cardamomthread.policy.admission;

/**
 * Decides when patient work is released to an endpoint.
 *
 * <p>Work starts at once at a low price with capacity to spare, or where a cached prompt saves more
 * than waiting for a low price would, since the cache will not last. The price that is accepted
 * rises with the share of the slack that has passed, and the deadline forces the start while the
 * job can still be run twice, since its host may be reclaimed. Stateless and safe for use by
 * several threads.
 */
public final class PatientRelease {

    private static final double RUNS_KEPT_IN_RESERVE = 2;
    private static final long RESERVE_MS = 10_000;
    private static final double LEAST_SPARE_SHARE = 0.25;
    private static final long LONGEST_HOLD_MS = 30_000;

    /**
     * Decides for one job.
     *
     * @param job the job
     * @param market prices and load
     * @param nowMs time on the clock of the job, in milliseconds
     * @return start now or hold
     */
    public Decision decide(PatientJob job, MarketView market, long nowMs) {
        long latestStartMs =
                job.deadlineMs() - (long) (RUNS_KEPT_IN_RESERVE * job.expectedRunMs()) - RESERVE_MS;
        if (nowMs >= latestStartMs) {
            return new Decision(Action.START_BY_DEADLINE, nowMs);
        }
        double passed =
                (double) (nowMs - job.acceptedAtMs())
                        / Math.max(1, latestStartMs - job.acceptedAtMs());
        double acceptedPrice =
                market.usualLowPrice()
                        + passed * passed * (market.usualHighPrice() - market.usualLowPrice());
        boolean spare = market.spareShare() >= LEAST_SPARE_SHARE * (1 - passed);
        double priceWithCache = market.cheapestPrice() * (1 - market.savedShare());
        if (spare && priceWithCache <= acceptedPrice) {
            return new Decision(Action.START_CHEAP, nowMs);
        }
        return new Decision(Action.HOLD, Math.min(latestStartMs, nowMs + LONGEST_HOLD_MS));
    }

    /** Names what happens to a job. Immutable. */
    public enum Action {
        /** It starts because place and time are cheap. */
        START_CHEAP,
        /** It starts because its deadline would be missed otherwise. */
        START_BY_DEADLINE,
        /** It waits. */
        HOLD
    }

    /**
     * States what happens to a job.
     *
     * @param action what happens
     * @param lookAgainAtMs when to decide again if it waits, in milliseconds
     */
    public record Decision(Action action, long lookAgainAtMs) {}
}
