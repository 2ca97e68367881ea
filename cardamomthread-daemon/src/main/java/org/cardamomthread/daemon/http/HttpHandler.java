package org.cardamomthread.daemon.http;

/** Answers the requests of one listener. Implementations are safe for use by several threads. */
@FunctionalInterface
public interface HttpHandler {

    /**
     * Handles a request; runs on an event loop and must not block.
     *
     * @param exchange the request and the way to answer it, now or later
     */
    void handle(HttpExchange exchange);
}
