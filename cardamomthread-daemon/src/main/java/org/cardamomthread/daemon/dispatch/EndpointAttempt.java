package org.cardamomthread.daemon.dispatch;

/** Cancels an attempt in progress. Safe for use by several threads. */
public interface EndpointAttempt {

    /**
     * Closes the attempt's connection; the listener hears of a failure of kind {@code CANCELLED}
     * unless the attempt has ended before.
     */
    void cancel();
}
