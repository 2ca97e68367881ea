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
 * Holds this gateway's shares of the accounts' quotas.
 *
 * <p>Invariant: what all gateways admit is bounded by the quota as long as their shares add up to
 * one; a gateway without a share takes an even one, and one that starts begins with little, as the
 * process before it may have used the share up. Used by one thread at a time.
 */
final class LocalQuotaShares {

    /** Gateways assumed until the control nodes have told how many share the limits. */
    private static final int ASSUMED_GATEWAY_COUNT = 16;

    /** Part of a share that is kept while the leader lends: about a second of it. */
    private static final double RESERVE_FRACTION = 0.6;

    private final TimeSource timeSource;
    private final QuotaAllocation allocation;
    private final Map<ClientAccountId, TokenBucket> buckets = new HashMap<>();
    private final Map<ClientAccountId, DecayingRate> demands = new HashMap<>();

    LocalQuotaShares(TimeSource timeSource, QuotaAllocation division) {
        this.timeSource = timeSource;
        this.allocation = division;
    }

    /** Takes the shares of a new view over. */
    void applyView(GatewayView view) {
        view.routes()
                .ifPresent(
                        routes ->
                                routes.document().accounts().stream()
                                        .filter(account -> account.ratePerS() > 0)
                                        .forEach(account -> resize(account, view)));
    }

    /**
     * Takes the amount of a new request from its account's share, if a reserve stays for the time
     * in which no leader is in reach.
     */
    boolean tryTakeAboveReserve(TrafficAccount account, double amount) {
        if (account.ratePerS() <= 0) {
            return true;
        }
        long nowMs = timeSource.monotonicMs();
        demands.computeIfAbsent(account.id(), id -> new DecayingRate(nowMs)).add(amount, nowMs);
        TokenBucket bucket = buckets.get(account.id());
        return bucket != null
                && bucket.level(nowMs) - amount >= RESERVE_FRACTION * bucket.capacity()
                && bucket.tryTake(amount, nowMs);
    }

    /** Takes the amount of a request from its account's share, if it is there. */
    boolean tryTake(TrafficAccount account, double amount) {
        TokenBucket bucket = buckets.get(account.id());
        return account.ratePerS() <= 0
                || bucket != null && bucket.tryTake(amount, timeSource.monotonicMs());
    }

    /** Gives back what a request took that will never run. */
    void refund(TrafficAccount account, double amount) {
        TokenBucket bucket = buckets.get(account.id());
        if (account.ratePerS() > 0 && bucket != null) {
            bucket.add(amount);
        }
    }

    /** Returns the time until a request of this amount would be admitted, in milliseconds. */
    long waitMs(TrafficAccount account, double amount) {
        TokenBucket bucket = buckets.get(account.id());
        return bucket == null ? 0 : bucket.waitMs(amount, timeSource.monotonicMs());
    }

    /** Reports the demand of each account, in quota units a second. */
    void forEachDemand(BiConsumer<ClientAccountId, Double> sink) {
        long nowMs = timeSource.monotonicMs();
        demands.forEach((account, meter) -> sink.accept(account, meter.ratePerS(nowMs)));
    }

    private void resize(TrafficAccount account, GatewayView view) {
        long nowMs = timeSource.monotonicMs();
        demands.computeIfAbsent(account.id(), id -> new DecayingRate(nowMs));
        int gateways = view.gatewayCount() > 0 ? view.gatewayCount() : ASSUMED_GATEWAY_COUNT;
        double share = view.quotaShares().getOrDefault(account.id(), 1.0 / gateways);
        QuotaAllocation.BucketLimits own = allocation.gatewayLimits(account, share, gateways);
        TokenBucket bucket = buckets.get(account.id());
        if (bucket == null) {
            buckets.put(
                    account.id(),
                    new TokenBucket(own.ratePerS(), own.capacity(), own.initialLevel(), nowMs));
        } else {
            bucket.resize(own.ratePerS(), own.capacity(), nowMs);
        }
    }
}
