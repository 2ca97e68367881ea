package org.cardamomthread.daemon.http;

import java.util.concurrent.atomic.AtomicInteger;

/** Holds the shutdown state and the number of requests in progress of a listener. Thread-safe. */
final class ServerState {

    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean closingIdleConnections;

    void startDraining() {
        draining = true;
    }

    void startClosingIdleConnections() {
        draining = true;
        closingIdleConnections = true;
    }

    boolean isClosingIdleConnections() {
        return closingIdleConnections;
    }

    boolean isDraining() {
        return draining;
    }

    void beginRequest() {
        requestsInProgress.incrementAndGet();
    }

    void endRequest() {
        requestsInProgress.decrementAndGet();
    }

    int getRequestsInProgress() {
        return requestsInProgress.get();
    }
}
