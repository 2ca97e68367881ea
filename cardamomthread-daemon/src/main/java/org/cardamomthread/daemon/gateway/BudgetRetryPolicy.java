package org.cardamomthread.daemon.gateway;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.policy.admission.RetryBudget;

/** Keeps a retry budget for each service. Safe for use by several threads. */
final class BudgetRetryPolicy implements RetryPolicy {

    private static final double SHARE_OF_SUCCESSES = 0.2;
    private static final double LEAST_PER_SECOND = 1.0;
    private static final double BURST = 50.0;

    private final TimeSource timeSource;
    private final Map<ServiceId, RetryBudget> budgets = new ConcurrentHashMap<>();

    BudgetRetryPolicy(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    @Override
    public void recordSuccess(ServiceId service) {
        findBudget(service).onSuccess();
    }

    @Override
    public boolean tryRetry(ServiceId service) {
        return findBudget(service).trySpend(timeSource.monotonicMs());
    }

    private RetryBudget findBudget(ServiceId service) {
        return budgets.computeIfAbsent(
                service,
                id ->
                        new RetryBudget(
                                SHARE_OF_SUCCESSES,
                                LEAST_PER_SECOND,
                                BURST,
                                timeSource.monotonicMs()));
    }
}
