package org.cardamomthread.daemon.gateway;

/** Starts calls that may run at most once. Implementations must be thread-safe. */
interface AtMostOnceCallStarter {

    /**
     * Starts a call.
     *
     * @param context the caller's request, which is ended by this call
     * @param endpointTarget the path and query to send to the endpoint
     */
    void start(CallContext context, String endpointTarget);
}
