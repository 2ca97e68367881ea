package org.cardamomthread.daemon.gateway;

/** Starts admitted calls. Implementations are safe for use by several threads. */
interface CallStarter {

    /**
     * Starts a model call.
     *
     * @param scope the caller's request
     * @param request its body
     */
    void startModel(CallScope scope, ModelRequest request);

    /**
     * Starts a call of a plain service.
     *
     * @param scope the caller's request
     * @param endpointTarget the path and query for the endpoint
     */
    void startPlain(CallScope scope, String endpointTarget);
}
