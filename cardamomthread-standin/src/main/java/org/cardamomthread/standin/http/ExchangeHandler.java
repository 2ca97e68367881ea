package org.cardamomthread.standin.http;

import java.io.IOException;

/** Handles the requests of a stand-in, on the one thread of its server. */
@FunctionalInterface
public interface ExchangeHandler {

    /**
     * Handles a request, now or later.
     *
     * @param exchange the request and the way to answer it
     * @throws IOException if the body is not valid JSON; answered with status 400
     */
    void handle(Exchange exchange) throws IOException;
}
