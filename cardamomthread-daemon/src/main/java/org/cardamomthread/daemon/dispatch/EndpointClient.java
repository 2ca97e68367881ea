package org.cardamomthread.daemon.dispatch;

/**
 * Runs single attempts on endpoints.
 *
 * <p>No implementation ever sends a request twice. Safe for use by several threads.
 */
public interface EndpointClient extends AutoCloseable {

    /**
     * Starts an attempt.
     *
     * @param request what to send
     * @param listener receives the answer
     * @return the means to cancel the attempt
     */
    EndpointAttempt start(EndpointRequest request, EndpointResponseListener listener);

    @Override
    void close();
}
