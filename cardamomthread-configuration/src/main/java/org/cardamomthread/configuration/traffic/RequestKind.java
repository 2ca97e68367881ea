package org.cardamomthread.configuration.traffic;

/**
 * Declares whether the requests of a route may run more than once and whether their responses are
 * streams.
 */
public enum RequestKind {
    /** An idempotent request, which may run more than once. */
    REPEATABLE,
    /** A request that may run at most once per attempt of the client. */
    ONCE_PER_ATTEMPT,
    /** A request with a streamed response, which may run at most once. */
    STREAM,
    /**
     * A request with a streamed response, which another endpoint can resume after the last
     * delivered event.
     */
    RESUMABLE_STREAM;

    /**
     * Returns whether the response is a stream of events.
     *
     * @return true for {@link #STREAM} and {@link #RESUMABLE_STREAM}
     */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }

    /**
     * Returns whether a request may run again if no part of its response was delivered.
     *
     * @return true for {@link #REPEATABLE} and {@link #RESUMABLE_STREAM}
     */
    public boolean isRetryable() {
        return this == REPEATABLE || this == RESUMABLE_STREAM;
    }
}
