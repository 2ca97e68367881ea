package org.cardamomthread.daemon.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.QuotaAllocation;
import org.cardamomthread.policy.admission.TokenBucket;

/**
 * Holds this gateway's shares of the client accounts' quotas.
 *
 * <p>Invariant: all gateways together admit no more than the quota as long as their shares add up
 * to one. A gateway without an assigned share uses an even one. A gateway that starts begins with
 * an almost empty bucket, since its predecessor may have used up the share. Not thread-safe.
 */
final class LocalQuotaShares {

    /**
     * Number of gateways assumed until the control nodes have reported how many share the quotas.
     */
    private static final int ASSUMED_GATEWAY_COUNT = 16;

    /**
     * Fraction of a bucket that is kept back while the leader's pool is reachable: about one second
     * of the share.
     */
    private static final double RESERVE_FRACTION = 0.6;

    private final TimeSource timeSource;
    private final QuotaAllocation allocation;
    private final Map<ClientAccountId, TokenBucket> buckets = new HashMap<>();
    private final Map<ClientAccountId, DecayingRate> demands = new HashMap<>();

    LocalQuotaShares(TimeSource timeSource, QuotaAllocation allocation) {
        this.timeSource = timeSource;
        this.allocation = allocation;
    }

    /** Applies the accounts and shares of a new view. */
    void applyView(GatewayView view) {
        view.routes()
                .ifPresent(
                        routes ->
                                routes.document().accounts().stream()
                                        .filter(account -> account.ratePerS() > 0)
                                        .forEach(account -> resize(account, view)));
    }

    /**
     * Records the demand of a new request and takes its amount from the account's share, provided
     * that the reserve for times without a reachable leader remains.
     */
    boolean tryConsumeAboveReserve(TrafficAccount account, double amount) {
        if (account.ratePerS() <= 0) {
            return true;
        }
        long nowMs = timeSource.monotonicMs();
        demands.computeIfAbsent(account.id(), id -> new DecayingRate(nowMs)).add(amount, nowMs);
        TokenBucket bucket = buckets.get(account.id());
        return bucket != null
                && bucket.availableTokens(nowMs) - amount >= RESERVE_FRACTION * bucket.capacity()
                && bucket.tryConsume(amount, nowMs);
    }

    /**
     * Takes the amount of a request from the account's share, including the reserve, if all of it
     * is available. Shares are never overdrawn: those of many gateways together would exceed the
     * quota by as many requests.
     */
    boolean tryConsume(TrafficAccount account, double amount) {
        long nowMs = timeSource.monotonicMs();
        TokenBucket bucket = buckets.get(account.id());
        return account.ratePerS() <= 0
                || bucket != null
                        && bucket.availableTokens(nowMs) >= amount
                        && bucket.tryConsume(amount, nowMs);
    }

    /** Returns the amount taken for a request that will never run. */
    void refund(TrafficAccount account, double amount) {
        TokenBucket bucket = buckets.get(account.id());
        if (account.ratePerS() > 0 && bucket != null) {
            bucket.add(amount);
        }
    }

    /**
     * Returns the time in milliseconds until the account's share covers the amount, {@link
     * Long#MAX_VALUE} if it never does, or 0 if the account has no bucket.
     */
    long waitMs(TrafficAccount account, double amount) {
        TokenBucket bucket = buckets.get(account.id());
        if (bucket == null) {
            return 0;
        }
        return amount > bucket.capacity()
                ? Long.MAX_VALUE
                : bucket.waitMs(amount, timeSource.monotonicMs());
    }

    /** Passes the demand of each account to the consumer, in quota units per second. */
    void forEachDemand(BiConsumer<ClientAccountId, Double> consumer) {
        long nowMs = timeSource.monotonicMs();
        demands.forEach((account, rate) -> consumer.accept(account, rate.ratePerS(nowMs)));
    }

    private void resize(TrafficAccount account, GatewayView view) {
        long nowMs = timeSource.monotonicMs();
        demands.computeIfAbsent(account.id(), id -> new DecayingRate(nowMs));
        int gatewayCount = view.gatewayCount() > 0 ? view.gatewayCount() : ASSUMED_GATEWAY_COUNT;
        double share = view.quotaShares().getOrDefault(account.id(), 1.0 / gatewayCount);
        QuotaAllocation.BucketLimits limits =
                allocation.gatewayLimits(account, share, gatewayCount);
        TokenBucket bucket = buckets.get(account.id());
        if (bucket == null) {
            buckets.put(
                    account.id(),
                    new TokenBucket(
                            limits.ratePerS(), limits.capacity(), limits.initialLevel(), nowMs));
        } else {
            bucket.resize(limits.ratePerS(), limits.capacity(), nowMs);
        }
    }
}
