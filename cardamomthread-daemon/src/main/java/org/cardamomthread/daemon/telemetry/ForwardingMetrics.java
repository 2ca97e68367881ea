package org.cardamomthread.daemon.telemetry;

import org.cardamomthread.core.id.ServiceId;

/** Counts forwarded requests. Thread-safe. */
public interface ForwardingMetrics {

    /**
     * Counts a request that was admitted.
     *
     * @param service the requested service
     */
    void beginRequest(ServiceId service);

    /**
     * Counts the end of an admitted request.
     *
     * @param service the requested service
     * @param outcome the outcome, from a fixed set, such as {@code answered}
     * @param elapsedMs time since the request was received completely, in milliseconds
     */
    void endRequest(ServiceId service, String outcome, long elapsedMs);

    /**
     * Counts a failed attempt on an endpoint.
     *
     * @param service the requested service
     * @param result the kind of failure, from a fixed set
     */
    void countAttempt(ServiceId service, String result);

    /**
     * Counts a response in which an endpoint states that it wants no requests.
     *
     * @param service the requested service
     * @param statement the statement, from a fixed set
     */
    void countEndpointStatement(ServiceId service, String statement);

    /**
     * Counts a request that is sent to an endpoint, including repeated sends.
     *
     * @param service the requested service
     * @param isLocal whether the endpoint is in the gateway's data centre
     */
    void countSend(ServiceId service, boolean isLocal);

    /**
     * Counts a request that was refused before it was admitted.
     *
     * @param reason the reason, from a fixed set
     */
    void countRefusal(String reason);

    /**
     * Sets the number of requests that wait for an endpoint.
     *
     * @param service the requested service
     * @param count the number of requests
     */
    void setWaiting(ServiceId service, int count);

    /**
     * Records how long a request that is sent now has waited for an endpoint.
     *
     * @param service the requested service
     * @param waitedMs the time, in milliseconds
     */
    void recordWait(ServiceId service, long waitedMs);
}
