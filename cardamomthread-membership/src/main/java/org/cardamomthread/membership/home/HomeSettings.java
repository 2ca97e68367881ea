package org.cardamomthread.membership.home;

/**
 * Holds the timing limits that homes and gateways must share.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaseMs the milliseconds for which a grant may be used, measured by the gateway from
 *     before it sent the demand
 * @param maxClockDriftPerMille the maximum rate error of any node's monotonic clock, fast or slow,
 *     in thousandths
 * @param announcementValidityMs the milliseconds after the receipt of an announcement during which
 *     its receiver may grant
 * @param maxAnnouncementAgeMs the maximum age in milliseconds of an announcement at its receipt by
 *     the home; older ones do not count for the ownership of the endpoint
 * @param maxFastestDelayMs an upper bound in milliseconds on the delay of the fastest recent
 *     announcement, relative to which ages are measured
 * @param maxCountSkewMs the maximum milliseconds between the times at which a gateway and an
 *     endpoint count the same request
 * @param gatewayTimeoutMs the milliseconds of silence after which a gateway's requests count as
 *     orphaned
 * @param maxRequestDurationMs the maximum milliseconds that a request may stay in flight
 */
public record HomeSettings(
        long leaseMs,
        int maxClockDriftPerMille,
        long announcementValidityMs,
        long maxAnnouncementAgeMs,
        long maxFastestDelayMs,
        long maxCountSkewMs,
        long gatewayTimeoutMs,
        long maxRequestDurationMs) {

    private static final int PER_MILLE = 1_000;

    /** Rejects durations that are not positive and a clock drift outside of 0 to 499. */
    public HomeSettings {
        if (leaseMs <= 0
                || announcementValidityMs <= 0
                || maxAnnouncementAgeMs <= 0
                || maxFastestDelayMs <= 0
                || maxCountSkewMs <= 0
                || gatewayTimeoutMs <= 0
                || maxRequestDurationMs <= 0) {
            throw new IllegalArgumentException(
                    "all durations of HomeSettings must be positive milliseconds");
        }
        if (maxClockDriftPerMille < 0 || maxClockDriftPerMille >= PER_MILLE / 2) {
            throw new IllegalArgumentException(
                    "maxClockDriftPerMille "
                            + maxClockDriftPerMille
                            + " must be between 0 and 499");
        }
    }

    /**
     * Returns the default settings.
     *
     * @return the settings of a node that configures nothing else
     */
    public static HomeSettings defaults() {
        return new HomeSettings(2_000, 10, 1_500, 1_000, 250, 500, 4_000, 120_000);
    }

    /**
     * Returns the maximum time for which a grant can be used, measured on the home's clock from the
     * time of the grant.
     *
     * @return the duration in milliseconds
     */
    public long maxLeaseOnHomeClockMs() {
        return withClockDrift(leaseMs);
    }

    /**
     * Returns the time for which a node must have received every announcement of an endpoint before
     * it owns the endpoint. Until then credits granted by a previous home may still be in use.
     *
     * @return the duration in milliseconds
     */
    public long acquisitionWaitMs() {
        return withClockDrift(announcementValidityMs + maxAnnouncementAgeMs + leaseMs);
    }

    /** Returns the longest time that a fast clock shows while a slow clock measures a duration. */
    private long withClockDrift(long durationMs) {
        long slowRatePerMille = PER_MILLE - maxClockDriftPerMille;
        return (durationMs * (PER_MILLE + maxClockDriftPerMille) + slowRatePerMille - 1)
                / slowRatePerMille;
    }
}
