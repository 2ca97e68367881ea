package org.cardamomthread.configuration.traffic;

/** Says how often the requests of a route may run. */
public enum Repeatability {
    /** A request may run more than once. */
    REPEATABLE,
    /** A request runs at most once for each attempt of the client. */
    ONCE_PER_ATTEMPT,
    /** A stream that runs at most once. */
    STREAM,
    /** A stream that may go on at another endpoint from the last event that was delivered. */
    RESUMABLE_STREAM;

    /**
     * Tells whether the answer is a stream of events.
     *
     * @return true for both kinds of stream
     */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }

    /**
     * Tells whether a request of which nothing was delivered may run again.
     *
     * @return true if a second run does no harm
     */
    public boolean mayRunAgain() {
        return this == REPEATABLE || this == RESUMABLE_STREAM;
    }
}
