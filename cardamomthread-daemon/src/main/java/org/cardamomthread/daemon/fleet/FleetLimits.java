package org.cardamomthread.daemon.fleet;

import java.util.OptionalLong;
import org.cardamomthread.daemon.forwarding.CanaryAllocation;
import org.cardamomthread.daemon.forwarding.WaitingLimits;
import org.cardamomthread.daemon.view.QuotaAllocation;

/**
 * Holds the limits that the platform requires. Immutable.
 *
 * @param revocationDeadlineMs the time after which no request may run with a revoked key, in
 *     milliseconds
 * @param controllerLeaseMs the time for which a former leader may still run the controllers, in
 *     milliseconds
 * @param shutdownTimeoutMs the time from the stop signal until the process is killed, in
 *     milliseconds
 * @param retryRatio retries allowed for each first attempt
 * @param retryAllowance retries allowed in addition, for all gateways together in one window
 * @param retryWindowS the length of the window for the allowance, in seconds
 * @param quotaAllocation the division of quotas, including the allowed excess
 * @param usageWindowS the length of an accounting window, in seconds
 * @param usageDeadlineS the time after the end of a window by which it must be reported, in seconds
 * @param canaryAllocation what a canary version may receive
 * @param controlNodeLosses the control nodes that may be lost at once, with their disks
 * @param dataCentreMarginMs by how much an endpoint of another data centre must be expected to be
 *     faster, in milliseconds, or empty to derive it from the latency objective
 * @param waitingLimits bounds the requests that wait for an endpoint at a gateway
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
        long usageDeadlineS,
        CanaryAllocation canaryAllocation,
        int controlNodeLosses,
        OptionalLong dataCentreMarginMs,
        WaitingLimits waitingLimits) {

    /** Fraction of the revocation deadline for which a view may be used without confirmation. */
    private static final double VIEW_LEASE_FRACTION = 0.75;

    /**
     * Returns how long a gateway may use a view after the leader has last confirmed it, in
     * milliseconds.
     */
    long viewLeaseMs() {
        return (long) (revocationDeadlineMs * VIEW_LEASE_FRACTION);
    }
}
