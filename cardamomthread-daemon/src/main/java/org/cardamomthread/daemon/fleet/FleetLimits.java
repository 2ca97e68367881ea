package org.cardamomthread.daemon.fleet;

import org.cardamomthread.daemon.view.QuotaDivision;

/**
 * Holds the limits that the platform states. Immutable.
 *
 * @param revocationMs time after which a key that was taken away must not run requests, in
 *     milliseconds
 * @param leaseMs time for which a duty stays with its holder, in milliseconds
 * @param shutdownMs time from the order to stop to the end by force, in milliseconds
 * @param repeatRatio further sends that each first send allows
 * @param repeatExtra further sends allowed besides, over all gateways and one window
 * @param repeatWindowS the window of further sends, in seconds
 * @param quotas how quotas are divided, with the excess that is allowed
 * @param usageWindowS the length of an accounting window, in seconds
 * @param usageLateS time after its end by which a window must be reported, in seconds
 */
record FleetLimits(
        long revocationMs,
        long leaseMs,
        long shutdownMs,
        double repeatRatio,
        double repeatExtra,
        double repeatWindowS,
        QuotaDivision quotas,
        long usageWindowS,
        long usageLateS) {

    /** Part of the time for revocations for which a view may be used without confirmation. */
    private static final double VIEW_LEASE_PART = 0.75;

    /** Returns how long a gateway may use a view that the leader has not confirmed again. */
    long viewLeaseMs() {
        return (long) (revocationMs * VIEW_LEASE_PART);
    }
}
