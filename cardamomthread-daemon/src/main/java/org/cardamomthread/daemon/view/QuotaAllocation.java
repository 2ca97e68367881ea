package org.cardamomthread.daemon.view;

import org.cardamomthread.configuration.traffic.TrafficAccount;

/**
 * Divides each quota between the gateways' local shares and the leader's pool. Immutable.
 *
 * <p>Invariant: in any window, the local shares and the pool together admit no more than the quota
 * plus its allowed excess, even if every gateway restarts within the window.
 *
 * @param windowS the window over which the quotas are enforced, in seconds
 * @param overshoot the fraction of a quota by which all gateways together may exceed it
 * @param slack the quota units by which they may exceed it in addition, for accounts whose quota
 *     counts tokens
 */
public record QuotaAllocation(double windowS, double overshoot, double slack) {

    /**
     * Fraction of each rate that the leader's pool grants; the rest is admitted locally and serves
     * while no leader is reachable.
     */
    private static final double POOLED_RATE_FRACTION = 0.8;

    /**
     * Fraction of each burst that the leader's pool holds; the gateways hold the rest in reserve.
     */
    private static final double POOLED_BURST_FRACTION = 0.3;

    /**
     * Fraction of a window's allowed excess by which the pool refills faster than its part of the
     * quota.
     */
    private static final double POOL_REFILL_EXCESS_FRACTION = 0.3;

    /**
     * Fraction of the allowed excess added to the capacity of the pool, so that bursts are
     * admitted.
     */
    private static final double POOL_CAPACITY_EXCESS_FRACTION = 0.25;

    /** Fraction of the allowed excess added to the capacity of all gateways together. */
    private static final double GATEWAY_CAPACITY_EXCESS_FRACTION = 0.3;

    /** Fraction of the allowed excess that all gateways together hold when they start. */
    private static final double GATEWAY_INITIAL_EXCESS_FRACTION = 0.1;

    /**
     * Holds the parameters of one token bucket.
     *
     * @param ratePerS the refill rate in quota units per second
     * @param capacity the maximum number of quota units
     * @param initialLevel the quota units in the bucket when its process starts
     */
    public record BucketLimits(double ratePerS, double capacity, double initialLevel) {}

    /**
     * Returns the bucket limits of the leader's pool for an account.
     *
     * @param account the client account
     * @return the part of its quota that the leader grants on request
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
     * Returns the bucket limits of a gateway's local share for an account.
     *
     * @param account the client account
     * @param share the gateway's share, from 0 to 1
     * @param gatewayCount the number of gateways that hold shares
     * @return the part of its quota that the gateway admits without asking the leader
     */
    public BucketLimits gatewayLimits(TrafficAccount account, double share, int gatewayCount) {
        double excess = allowedExcess(account) / gatewayCount;
        return new BucketLimits(
                account.ratePerS() * share * (1 - POOLED_RATE_FRACTION),
                account.burst() * share * (1 - POOLED_BURST_FRACTION)
                        + excess * GATEWAY_CAPACITY_EXCESS_FRACTION,
                excess * GATEWAY_INITIAL_EXCESS_FRACTION);
    }

    private double allowedExcess(TrafficAccount account) {
        double quotaPerWindow = account.ratePerS() * windowS + account.burst();
        return overshoot * quotaPerWindow + (account.countsTokens() ? slack : 0);
    }
}
