package org.cardamomthread.daemon.telemetry;

import org.cardamomthread.core.id.ServiceId;

/** Counts forwarded requests. Safe for use by several threads. */
public interface ForwardingMetrics {

    /**
     * Counts a request that was admitted.
     *
     * @param service the service
     */
    void begin(ServiceId service);

    /**
     * Counts the end of an admitted request.
     *
     * @param service the service
     * @param outcome a fixed name such as {@code answered}
     * @param elapsedMs time since the request had arrived whole, in milliseconds
     */
    void end(ServiceId service, String outcome, long elapsedMs);

    /**
     * Counts a failed attempt on an endpoint.
     *
     * @param service the service
     * @param result a fixed name of the failure
     */
    void countAttempt(ServiceId service, String result);

    /**
     * Counts a request that was refused before it was admitted.
     *
     * @param reason a fixed name of the reason
     */
    void refuse(String reason);
}
