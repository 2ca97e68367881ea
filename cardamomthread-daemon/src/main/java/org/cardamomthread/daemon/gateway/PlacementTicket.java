package org.cardamomthread.daemon.gateway;

/** Stops a wait for an endpoint. Safe for use by several threads. */
@FunctionalInterface
interface PlacementTicket {

    /** Stops the wait; without effect once the listener has heard the result. */
    void cancel();
}
