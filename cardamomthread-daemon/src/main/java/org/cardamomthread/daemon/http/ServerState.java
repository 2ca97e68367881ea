package org.cardamomthread.daemon.http;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests in progress on one listener. Safe for use by several threads. */
final class ServerActivity {

    private final AtomicInteger requestsInProgress = new AtomicInteger();
    private volatile boolean draining;
    private volatile boolean closingIdle;

    void startDraining() {
        draining = true;
    }

    void startClosingIdle() {
        draining = true;
        closingIdle = true;
    }

    boolean isClosingIdle() {
        return closingIdle;
    }

    boolean isDraining() {
        return draining;
    }

    void begin() {
        requestsInProgress.incrementAndGet();
    }

    void end() {
        requestsInProgress.decrementAndGet();
    }

    int getRequestsInProgress() {
        return requestsInProgress.get();
    }
}
