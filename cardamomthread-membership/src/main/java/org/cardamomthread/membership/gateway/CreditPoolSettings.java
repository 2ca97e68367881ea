package org.cardamomthread.membership.gateway;

/**
 * Holds the intervals and limits of a gateway's demands.
 *
 * <p>Immutable and thread-safe.
 *
 * @param demandIntervalMs the regular interval in milliseconds between demands to the same home
 * @param urgentIntervalMs the interval in milliseconds before the first demand while requests wait
 *     for a credit; it doubles with each further urgent demand, up to the regular interval
 * @param localHomes the maximum number of homes to use in the local data centre
 * @param remoteHomes the maximum number of homes to use in other data centres
 * @param leaseMs the milliseconds for which a grant may be used, measured from before the demand
 *     was sent; must equal the setting of the homes
 */
public record CreditPoolSettings(
        long demandIntervalMs,
        long urgentIntervalMs,
        int localHomes,
        int remoteHomes,
        long leaseMs) {

    /** Rejects values out of range and a lease that is shorter than two demand intervals. */
    public CreditPoolSettings {
        if (demandIntervalMs <= 0 || urgentIntervalMs <= 0 || localHomes <= 0 || remoteHomes < 0) {
            throw new IllegalArgumentException(
                    "demandIntervalMs, urgentIntervalMs and localHomes must be positive, "
                            + "remoteHomes must not be negative");
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
     * Returns the default settings.
     *
     * @return the settings of a gateway that configures nothing else
     */
    public static CreditPoolSettings defaults() {
        return new CreditPoolSettings(500, 50, 8, 8, 2_000);
    }
}
