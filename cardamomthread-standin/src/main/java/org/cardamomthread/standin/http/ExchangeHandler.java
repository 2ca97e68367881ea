package org.cardamomthread.standin.http;

import java.io.IOException;

/** Handles the requests of a stand-in on the event loop thread of its server. */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Handles a request; the response may be sent after this method returns.
     *
     * @param exchange the request and its response
     * @throws IOException if the body is not valid JSON; the response then has status 400
     */
    void handle(Exchange exchange) throws IOException;
}
