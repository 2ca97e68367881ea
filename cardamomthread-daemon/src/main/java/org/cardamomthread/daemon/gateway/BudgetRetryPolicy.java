package org.cardamomthread.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.ServiceId;

/**
 * Lets each service make further attempts for a share of its successes, above a small reserve.
 *
 * <p>Invariant: over any run of calls the further attempts of a service are at most {@value
 * #EARNED_PER_SUCCESS} of its successes plus {@value #MAX_TOKENS}. Safe for use by several threads.
 */
final class BudgetRetryPolicy implements RetryPolicy {

    private static final double EARNED_PER_SUCCESS = 0.2;
    private static final double MAX_TOKENS = 50;

    private final Map<ServiceId, Double> tokens = new HashMap<>();

    @Override
    public synchronized void recordSuccess(ServiceId service) {
        double available = tokens.getOrDefault(service, MAX_TOKENS);
        tokens.put(service, Math.min(MAX_TOKENS, available + EARNED_PER_SUCCESS));
    }

    @Override
    public synchronized boolean tryRetry(ServiceId service) {
        double available = tokens.getOrDefault(service, MAX_TOKENS);
        if (available < 1) {
            return false;
        }
        tokens.put(service, available - 1);
        return true;
    }
}
