package org.cardamomthread.membership.home;

/**
 * Holds the times on which homes and gateways agree.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param leaseMs how long a grant may be used, counted by the gateway from before it sent its
 *     demand
 * @param clockRatePerMille the most by which any node's monotonic clock runs fast or slow, in
 *     thousandths
 * @param announcementValidityMs how long after an announcement its receiver may grant
 * @param announcementDelayMs the longest time from the making of an announcement to its receipt at
 *     the home; an older one is not evidence of being home
 * @param fastestDelayMs the longest that the fastest of the recent announcements took
 * @param settleMs the longest time between a gateway's and an endpoint's count of one request
 * @param gatewaySilenceMs silence after which a gateway's requests are counted by the endpoint's
 *     own reports
 * @param maxRequestMs the longest time that a request may stay in flight
 */
public record HomeSettings(
        long leaseMs,
        int clockRatePerMille,
        long announcementValidityMs,
        long announcementDelayMs,
        long fastestDelayMs,
        long settleMs,
        long gatewaySilenceMs,
        long maxRequestMs) {

    private static final int MILLE = 1_000;

    /** Checks that all are positive. */
    public HomeSettings {
        if (leaseMs <= 0
                || announcementValidityMs <= 0
                || announcementDelayMs <= 0
                || fastestDelayMs <= 0
                || settleMs <= 0
                || gatewaySilenceMs <= 0
                || maxRequestMs <= 0) {
            throw new IllegalArgumentException("all times of HomeSettings must be positive");
        }
        if (clockRatePerMille < 0 || clockRatePerMille >= MILLE / 2) {
            throw new IllegalArgumentException(
                    "clockRatePerMille " + clockRatePerMille + " must be from 0 to 499");
        }
    }

    /**
     * Returns the settings that a node uses unless told otherwise.
     *
     * @return the settings
     */
    public static HomeSettings defaults() {
        return new HomeSettings(2_000, 10, 1_500, 1_000, 250, 500, 4_000, 120_000);
    }

    /**
     * Returns the longest that a grant can be used, on the home's clock from the grant.
     *
     * @return milliseconds
     */
    public long leaseOnHomeClockMs() {
        return stretch(leaseMs);
    }

    /**
     * Returns how long a node must have received every announcement of an endpoint before it may
     * grant: until then another home's credits may be in use.
     *
     * @return milliseconds
     */
    public long acquisitionMs() {
        return stretch(announcementValidityMs + announcementDelayMs + leaseMs);
    }

    private long stretch(long durationMs) {
        long slow = MILLE - clockRatePerMille;
        return (durationMs * (MILLE + clockRatePerMille) + slow - 1) / slow;
    }
}
