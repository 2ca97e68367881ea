package org.cardamomthread.daemon.forwarding;

import org.cardamomthread.daemon.view.QuotaAllocation;

/**
 * Holds the limits that the platform sets for retries, quotas, usage accounting and canary
 * versions. Immutable.
 *
 * @param retryRatio retries allowed for each first attempt
 * @param retryAllowance retries allowed in addition, for all gateways together in one window
 * @param retryWindowS the length of the window for the allowance, in seconds
 * @param quotaAllocation the division of quotas between the gateways and the leader's pool
 * @param usageWindowS the length of an accounting window, in seconds
 * @param canaryAllocation what a canary version may receive
 * @param waitingLimits bounds the requests that wait for an endpoint
 */
public record ForwardingLimits(
        double retryRatio,
        double retryAllowance,
        double retryWindowS,
        QuotaAllocation quotaAllocation,
        long usageWindowS,
        CanaryAllocation canaryAllocation,
        WaitingLimits waitingLimits) {

    /**
     * Creates limits with the default bounds of waiting requests.
     *
     * @param retryRatio retries allowed for each first attempt
     * @param retryAllowance retries allowed in addition, for all gateways together in one window
     * @param retryWindowS the length of the window for the allowance, in seconds
     * @param quotaAllocation the division of quotas between the gateways and the leader's pool
     * @param usageWindowS the length of an accounting window, in seconds
     * @param canaryAllocation what a canary version may receive
     */
    public ForwardingLimits(
            double retryRatio,
            double retryAllowance,
            double retryWindowS,
            QuotaAllocation quotaAllocation,
            long usageWindowS,
            CanaryAllocation canaryAllocation) {
        this(
                retryRatio,
                retryAllowance,
                retryWindowS,
                quotaAllocation,
                usageWindowS,
                canaryAllocation,
                WaitingLimits.DEFAULT);
    }
}
