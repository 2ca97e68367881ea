package org.cardamomthread.daemon.gateway;

/** Starts calls that have been admitted. Implementations must be thread-safe. */
interface CallStarter {

    /**
     * Starts a call to a model.
     *
     * @param context the caller's request, which is ended by this call
     * @param request the parsed request body
     */
    void startModelCall(CallContext context, ModelRequest request);

    /**
     * Starts a call to a plain service.
     *
     * @param context the caller's request, which is ended by this call
     * @param endpointTarget the path and query to send to the endpoint
     */
    void startPlainCall(CallContext context, String endpointTarget);
}
