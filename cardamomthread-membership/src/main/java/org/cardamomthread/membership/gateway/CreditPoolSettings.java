package org.cardamomthread.membership.gateway;

/**
 * Holds the intervals and bounds of a gateway's demands.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param demandIntervalMs milliseconds between two demands to the same home
 * @param urgentIntervalMs the same for the first demand while requests wait for a credit; doubled
 *     for each further one, up to the regular interval
 * @param localHomes the most homes of the own data centre to work with
 * @param remoteHomes the most homes of other data centres to work with
 * @param leaseMs how long a grant may be used, counted from before its demand was sent; the same as
 *     at the homes
 */
public record CreditPoolSettings(
        long demandIntervalMs,
        long urgentIntervalMs,
        int localHomes,
        int remoteHomes,
        long leaseMs) {

    /** Checks that all are positive and a lease spans several demands. */
    public CreditPoolSettings {
        if (demandIntervalMs <= 0 || urgentIntervalMs <= 0 || localHomes <= 0 || remoteHomes < 0) {
            throw new IllegalArgumentException(
                    "intervals and localHomes must be positive, remoteHomes not negative");
        }
        if (leaseMs < 2 * demandIntervalMs) {
            throw new IllegalArgumentException(
                    "leaseMs "
                            + leaseMs
                            + " must be at least twice demandIntervalMs "
                            + demandIntervalMs);
        }
    }

    /**
     * Returns the settings that a gateway uses unless told otherwise.
     *
     * @return the settings
     */
    public static CreditPoolSettings defaults() {
        return new CreditPoolSettings(500, 50, 8, 8, 2_000);
    }
}
