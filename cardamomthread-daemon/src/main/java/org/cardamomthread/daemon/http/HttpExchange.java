package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Represents a request and the means to respond to it.
 *
 * <p>At most one response is sent, either complete or streamed. A further complete response is
 * ignored; starting a further stream is an error. Thread-safe.
 */
public interface HttpExchange {

    /**
     * Returns the request.
     *
     * @return the request, received completely
     */
    ServerRequest getRequest();

    /**
     * Sends a complete response; has no effect if a response was already sent or started.
     *
     * @param response the response
     */
    void respond(ServerResponse response);

    /**
     * Starts a streamed response.
     *
     * @param status the status code
     * @param headers the headers, without those that define the length of the body
     * @return the stream to write the body to
     */
    ResponseStream startStream(int status, HttpHeaders headers);

    /**
     * Sets the action that runs if the caller closes the connection before the response was sent
     * completely. Replaces an action set before; runs at once if the connection is already closed.
     *
     * @param action the action; must not block
     */
    void onDisconnect(Runnable action);
}
