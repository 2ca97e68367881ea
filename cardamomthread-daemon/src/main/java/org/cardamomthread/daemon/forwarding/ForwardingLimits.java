package org.cardamomthread.daemon.forwarding;

/**
 * Holds the limits that the platform sets for forwarding. Immutable.
 *
 * @param repeatRatio further sends that each first send allows
 * @param repeatExtra further sends allowed besides, over all gateways and one window
 * @param repeatWindowS the window, in seconds
 * @param quotaWindowS the window over which quotas are judged, in seconds
 * @param quotaOvershoot part of a quota by which all gateways together may exceed it
 * @param quotaSlack quota units by which they may exceed it besides
 * @param usageWindowS the length of an accounting window, in seconds
 */
public record ForwardingLimits(
        double repeatRatio,
        double repeatExtra,
        double repeatWindowS,
        double quotaWindowS,
        double quotaOvershoot,
        double quotaSlack,
        long usageWindowS) {}
