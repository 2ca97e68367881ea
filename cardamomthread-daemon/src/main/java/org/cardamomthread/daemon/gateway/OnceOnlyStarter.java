package org.cardamomthread.daemon.gateway;

/** Starts calls that may run at most once. Implementations are safe for use by several threads. */
interface OnceOnlyStarter {

    /**
     * Starts a call.
     *
     * @param scope the caller's request
     * @param endpointTarget the path and query for the endpoint
     */
    void start(CallScope scope, String endpointTarget);
}
