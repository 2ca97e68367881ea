package org.cardamomthread.daemon.forwarding;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.policy.admission.TokenBucket;

/**
 * Limits retries per service to a fraction of the first attempts plus this gateway's part of an
 * allowance that all gateways share. Not thread-safe.
 */
final class ServiceRetryBudget {

    /**
     * Fraction of the permitted budget that is used; the rest covers gateways that join and clocks
     * that differ.
     */
    private static final double USABLE_FRACTION = 0.6;

    private final TimeSource timeSource;
    private final ForwardingLimits limits;
    private final Map<ServiceId, TokenBucket> buckets = new HashMap<>();
    private int gatewayCount = 1;

    ServiceRetryBudget(TimeSource timeSource, ForwardingLimits limits) {
        this.timeSource = timeSource;
        this.limits = limits;
    }

    void setGatewayCount(int newCount) {
        if (newCount > 0 && newCount != gatewayCount) {
            gatewayCount = newCount;
            long nowMs = timeSource.monotonicMs();
            buckets.values().forEach(bucket -> bucket.resize(refillPerS(), capacity(), nowMs));
        }
    }

    void recordFirstAttempt(ServiceId service) {
        bucketFor(service).add(limits.retryRatio() * USABLE_FRACTION);
    }

    boolean tryConsumeRetry(ServiceId service) {
        return bucketFor(service).tryConsume(1, timeSource.monotonicMs());
    }

    private TokenBucket bucketFor(ServiceId service) {
        return buckets.computeIfAbsent(
                service,
                id ->
                        new TokenBucket(
                                refillPerS(), capacity(), capacity(), timeSource.monotonicMs()));
    }

    private double capacity() {
        return Math.max(1, limits.retryAllowance() * USABLE_FRACTION / gatewayCount);
    }

    /**
     * Returns the refill rate: half of this gateway's usable allowance per window. A full bucket
     * and its refill over one window thereby stay within this gateway's part of the allowance,
     * unless the minimum capacity of 1 applies.
     */
    private double refillPerS() {
        return limits.retryAllowance() * USABLE_FRACTION / gatewayCount / limits.retryWindowS() / 2;
    }
}
