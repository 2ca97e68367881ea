package org.cardamomthread.daemon.forwarding;

import org.cardamomthread.daemon.view.QuotaAllocation;

/**
 * Holds the limits that the platform sets for forwarding. Immutable.
 *
 * @param retryRatio further sends that each first send allows
 * @param retryAllowance further sends allowed besides, over all gateways and one window
 * @param retryWindowS the window, in seconds
 * @param quotaAllocation how quotas are divided between gateways and leader
 * @param usageWindowS the length of an accounting window, in seconds
 */
public record ForwardingLimits(
        double retryRatio,
        double retryAllowance,
        double retryWindowS,
        QuotaAllocation quotaAllocation,
        long usageWindowS) {}
