package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.ServiceId;

/** Bounds the attempts made beyond the first ones. Safe for use by several threads. */
interface RetryPolicy {

    /**
     * Records that a call was answered, which earns a share of a further attempt.
     *
     * @param service the service
     */
    void recordSuccess(ServiceId service);

    /**
     * Takes the permission for one further attempt.
     *
     * @param service the service
     * @return true if it was granted
     */
    boolean tryRetry(ServiceId service);
}
