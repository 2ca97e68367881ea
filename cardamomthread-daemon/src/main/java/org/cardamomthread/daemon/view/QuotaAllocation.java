package org.cardamomthread.daemon.view;

import org.cardamomthread.configuration.traffic.TrafficAccount;

/**
 * Divides each quota between the gateways' own shares and the leader's pool. Immutable.
 *
 * <p>Invariant: in any window, what the own shares and the pool admit adds up to no more than the
 * quota with its allowed excess, also if each gateway starts anew in it.
 *
 * @param windowS the window over which quotas are judged, in seconds
 * @param overshoot part of a quota by which all gateways together may exceed it
 * @param slack quota units by which they may exceed it besides, for accounts that count tokens
 */
public record QuotaAllocation(double windowS, double overshoot, double slack) {

    /** Part of each quota that the leader lends; the rest serves while no leader is in reach. */
    private static final double POOLED_RATE_FRACTION = 0.8;

    /** Part of each burst that the leader lends; the gateways hold the rest in reserve. */
    private static final double POOLED_BURST_FRACTION = 0.3;

    /** Part of a window's allowed excess by which the pool refills faster than the quota. */
    private static final double POOL_REFILL_EXCESS_FRACTION = 0.3;

    /** Part of the allowed excess that the pool holds, so that bursts pass. */
    private static final double POOL_CAPACITY_EXCESS_FRACTION = 0.25;

    /** Part of the allowed excess that the gateways hold together. */
    private static final double GATEWAY_CAPACITY_EXCESS_FRACTION = 0.3;

    /** Part of the allowed excess with which gateways start, all of them together. */
    private static final double GATEWAY_INITIAL_EXCESS_FRACTION = 0.1;

    /**
     * Holds the limits of one bucket.
     *
     * @param ratePerS quota units a second
     * @param capacity the most quota units it holds
     * @param start the quota units in it when its process starts
     */
    public record BucketLimits(double ratePerS, double capacity, double initialLevel) {}

    /**
     * Returns the limits of the leader's pool.
     *
     * @param account the account
     * @return the part of its quota that is lent
     */
    public BucketLimits poolLimits(TrafficAccount account) {
        double excess = allowedExcess(account);
        return new BucketLimits(
                account.ratePerS() * POOLED_RATE_FRACTION
                        + excess * POOL_REFILL_EXCESS_FRACTION / windowS,
                account.burst() * POOLED_BURST_FRACTION + excess * POOL_CAPACITY_EXCESS_FRACTION,
                0);
    }

    /**
     * Returns the limits of a gateway's own share.
     *
     * @param account the account
     * @param share the gateway's share, from 0 to 1
     * @param gateways how many gateways hold shares
     * @return the part of its quota that the gateway admits by itself
     */
    public BucketLimits gatewayLimits(TrafficAccount account, double share, int gateways) {
        double excess = allowedExcess(account) / gateways;
        return new BucketLimits(
                account.ratePerS() * share * (1 - POOLED_RATE_FRACTION),
                account.burst() * share * (1 - POOLED_BURST_FRACTION)
                        + excess * GATEWAY_CAPACITY_EXCESS_FRACTION,
                excess * GATEWAY_INITIAL_EXCESS_FRACTION);
    }

    private double allowedExcess(TrafficAccount account) {
        double window = account.ratePerS() * windowS + account.burst();
        return overshoot * window + (account.countsTokens() ? slack : 0);
    }
}
