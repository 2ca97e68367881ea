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
     * Fraction of each burst that the leader's pool holds in a small fleet; the gateways hold the
     * rest in reserve.
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
     * Number of gateways up to which the reserve of each is large enough for a long request. With
     * more, the part that would be divided into shares too small to be used goes to the pool.
     */
    private static final double MAX_FULL_RESERVES = 12;

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
     * @param gatewayCount the number of gateways that hold shares
     * @return the part of its quota that the leader grants on request
     */
    public BucketLimits poolLimits(TrafficAccount account, int gatewayCount) {
        double excess = allowedExcess(account);
        return new BucketLimits(
                account.ratePerS() * POOLED_RATE_FRACTION
                        + excess * POOL_REFILL_EXCESS_FRACTION / windowS,
                account.burst() * (1 - reservedBurstFraction(gatewayCount))
                        + excess
                                * (POOL_CAPACITY_EXCESS_FRACTION
                                        + GATEWAY_CAPACITY_EXCESS_FRACTION
                                        - reservedExcessFraction(gatewayCount)),
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
                account.burst() * share * reservedBurstFraction(gatewayCount)
                        + excess * reservedExcessFraction(gatewayCount),
                excess * GATEWAY_INITIAL_EXCESS_FRACTION);
    }

    private static double reservedBurstFraction(int gatewayCount) {
        return (1 - POOLED_BURST_FRACTION) * usableReserve(gatewayCount);
    }

    private static double reservedExcessFraction(int gatewayCount) {
        return GATEWAY_CAPACITY_EXCESS_FRACTION * usableReserve(gatewayCount);
    }

    private static double usableReserve(int gatewayCount) {
        return Math.min(1, MAX_FULL_RESERVES / Math.max(1, gatewayCount));
    }

    private double allowedExcess(TrafficAccount account) {
        double quotaPerWindow = account.ratePerS() * windowS + account.burst();
        return overshoot * quotaPerWindow + (account.countsTokens() ? slack : 0);
    }
}
