package org.cardamomthread.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.policy.admission.RetryBudget;

/** Limits retries by a budget per service. Thread-safe. */
final class BudgetRetryPolicy implements RetryPolicy {

    private static final double RETRIES_PER_SUCCESS = 0.2;
    private static final double MIN_RETRIES_PER_S = 1.0;
    private static final double MAX_BURST_RETRIES = 50.0;

    private final TimeSource timeSource;
    private final Map<ServiceId, RetryBudget> budgets = new ConcurrentHashMap<>();

    BudgetRetryPolicy(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    @Override
    public void recordSuccess(ServiceId service) {
        getOrCreateBudget(service).onSuccess();
    }

    @Override
    public boolean tryRetry(ServiceId service) {
        return getOrCreateBudget(service).tryConsume(timeSource.monotonicMs());
    }

    private RetryBudget getOrCreateBudget(ServiceId service) {
        return budgets.computeIfAbsent(
                service,
                id ->
                        new RetryBudget(
                                RETRIES_PER_SUCCESS,
                                MIN_RETRIES_PER_S,
                                MAX_BURST_RETRIES,
                                timeSource.monotonicMs()));
    }
}
