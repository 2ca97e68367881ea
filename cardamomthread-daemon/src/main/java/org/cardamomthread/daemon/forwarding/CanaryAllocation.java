package org.cardamomthread.daemon.forwarding;

/**
 * Holds what the platform allows a canary version to receive. Immutable.
 *
 * @param share maximum fraction of the requests of a service during a version move, from 0 to 1
 * @param allowance requests in addition, for all gateways together in one move
 */
public record CanaryAllocation(double share, double allowance) {}
