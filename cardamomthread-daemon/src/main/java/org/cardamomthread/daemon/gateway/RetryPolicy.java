package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.ServiceId;

/** Limits the number of retries. Thread-safe. */
interface RetryPolicy {

    /**
     * Records that a call was answered, which adds a fraction of a retry to the budget.
     *
     * @param service the called service
     */
    void recordSuccess(ServiceId service);

    /**
     * Requests permission for one retry and, if granted, deducts it from the budget.
     *
     * @param service the called service
     * @return true if the retry may be made
     */
    boolean tryRetry(ServiceId service);
}
