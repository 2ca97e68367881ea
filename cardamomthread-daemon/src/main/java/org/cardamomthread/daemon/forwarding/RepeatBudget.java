package org.cardamomthread.daemon.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.policy.admission.TokenBucket;

/**
 * Bounds the further sends of requests, for each service, by a share of its first sends and by this
 * gateway's part of a common allowance. Used by one thread at a time.
 */
final class RepeatBudget {

    /** Part of the allowed budget that is used, for gateways that join and clocks that differ. */
    private static final double SAFETY = 0.6;

    private final TimeSource timeSource;
    private final ForwardingLimits limits;
    private final Map<ServiceId, TokenBucket> buckets = new HashMap<>();
    private int gateways = 1;

    RepeatBudget(TimeSource timeSource, ForwardingLimits limits) {
        this.timeSource = timeSource;
        this.limits = limits;
    }

    void follow(int newGateways) {
        if (newGateways > 0 && newGateways != gateways) {
            gateways = newGateways;
            long nowMs = timeSource.monotonicMs();
            buckets.values().forEach(bucket -> bucket.resize(extraPerS(), capacity(), nowMs));
        }
    }

    void countFirstSend(ServiceId service) {
        bucketOf(service).add(limits.repeatRatio() * SAFETY);
    }

    boolean tryRepeat(ServiceId service) {
        return bucketOf(service).tryTake(1, timeSource.monotonicMs());
    }

    private TokenBucket bucketOf(ServiceId service) {
        return buckets.computeIfAbsent(
                service,
                id ->
                        new TokenBucket(
                                extraPerS(), capacity(), capacity(), timeSource.monotonicMs()));
    }

    private double capacity() {
        return Math.max(1, limits.repeatExtra() * SAFETY / gateways);
    }

    private double extraPerS() {
        return limits.repeatExtra() * SAFETY / gateways / limits.repeatWindowS() / 2;
    }
}
