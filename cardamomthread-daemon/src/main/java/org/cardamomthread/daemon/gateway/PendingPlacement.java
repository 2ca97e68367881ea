package org.cardamomthread.daemon.gateway;

/** Represents a wait for an endpoint that can be cancelled. Thread-safe. */
@FunctionalInterface
interface PendingPlacement {

    /** Cancels the wait; has no effect once the listener has been notified of the result. */
    void cancel();
}
