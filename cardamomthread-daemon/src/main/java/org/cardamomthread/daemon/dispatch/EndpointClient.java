package org.cardamomthread.daemon.dispatch;

/**
 * Sends single attempts to endpoints.
 *
 * <p>Implementations must be thread-safe and must never send a request twice.
 */
public interface EndpointClient extends AutoCloseable {

    /**
     * Starts an attempt.
     *
     * @param request the request to send
     * @param listener receives the response
     * @return a handle that cancels the attempt
     */
    EndpointAttempt start(EndpointRequest request, EndpointResponseListener listener);

    @Override
    void close();
}
