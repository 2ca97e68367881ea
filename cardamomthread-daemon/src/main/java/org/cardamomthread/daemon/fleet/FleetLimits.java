package org.cardamomthread.daemon.fleet;

import org.cardamomthread.daemon.view.QuotaAllocation;

/**
 * Holds the limits that the platform states. Immutable.
 *
 * @param revocationDeadlineMs time after which a key that was taken away must not run requests, in
 *     milliseconds
 * @param controllerLeaseMs time for which a duty stays with its holder, in milliseconds
 * @param shutdownTimeoutMs time from the order to stop to the end by force, in milliseconds
 * @param retryRatio further sends that each first send allows
 * @param retryAllowance further sends allowed besides, over all gateways and one window
 * @param retryWindowS the window of further sends, in seconds
 * @param quotaAllocation how quotas are divided, with the excess that is allowed
 * @param usageWindowS the length of an accounting window, in seconds
 * @param usageDeadlineS time after its end by which a window must be reported, in seconds
 */
record FleetLimits(
        long revocationDeadlineMs,
        long controllerLeaseMs,
        long shutdownTimeoutMs,
        double retryRatio,
        double retryAllowance,
        double retryWindowS,
        QuotaAllocation quotaAllocation,
        long usageWindowS,
        long usageDeadlineS) {

    /** Part of the time for revocations for which a view may be used without confirmation. */
    private static final double VIEW_LEASE_FRACTION = 0.75;

    /** Returns how long a gateway may use a view that the leader has not confirmed again. */
    long viewLeaseMs() {
        return (long) (revocationDeadlineMs * VIEW_LEASE_FRACTION);
    }
}
