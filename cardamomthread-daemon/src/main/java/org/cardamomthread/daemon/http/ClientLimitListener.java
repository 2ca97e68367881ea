package org.cardamomthread.daemon.http;

/** Is told of clients that reach a limit. Implementations must be thread-safe. */
@FunctionalInterface
public interface ClientLimitListener {

    /** Ignores all events. */
    ClientLimitListener NONE = (listener, reason) -> {};

    /**
     * Called when a request is refused or a connection is closed because of a limit.
     *
     * @param listener the name of the listener, such as {@code callers}
     * @param reason the limit
     */
    void onLimitReached(String listener, LimitReason reason);
}
