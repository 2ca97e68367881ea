package org.cardamomthread.daemon.forwarding;

/**
 * Holds the limits that the platform sets for forwarding. Immutable.
 *
 * @param repeatRatio further sends that each first send allows
 * @param repeatExtra further sends allowed besides, over all gateways and one window
 * @param repeatWindowS the window, in seconds
 * @param usageWindowS the length of an accounting window, in seconds
 */
public record ForwardingLimits(
        double repeatRatio, double repeatExtra, double repeatWindowS, long usageWindowS) {}
