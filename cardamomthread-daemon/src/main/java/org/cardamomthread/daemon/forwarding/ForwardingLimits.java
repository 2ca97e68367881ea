package org.cardamomthread.daemon.forwarding;

import org.cardamomthread.daemon.view.QuotaDivision;

/**
 * Holds the limits that the platform sets for forwarding. Immutable.
 *
 * @param repeatRatio further sends that each first send allows
 * @param repeatExtra further sends allowed besides, over all gateways and one window
 * @param repeatWindowS the window, in seconds
 * @param quotas how quotas are divided between gateways and leader
 * @param usageWindowS the length of an accounting window, in seconds
 */
public record ForwardingLimits(
        double repeatRatio,
        double repeatExtra,
        double repeatWindowS,
        QuotaDivision quotas,
        long usageWindowS) {}
