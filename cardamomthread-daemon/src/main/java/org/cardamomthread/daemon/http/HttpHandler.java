package org.cardamomthread.daemon.http;

/** Handles the requests of one listener. Implementations must be thread-safe. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles a request. Called on an event loop; must not block.
     *
     * @param exchange the request and the means to respond to it, possibly after this method
     *     returns
     */
    void handle(HttpExchange exchange);
}
