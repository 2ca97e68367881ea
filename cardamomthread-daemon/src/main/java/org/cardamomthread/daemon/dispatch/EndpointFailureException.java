package org.cardamomthread.daemon.dispatch;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that one attempt on an endpoint failed, and how. */
public final class EndpointFailureException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /** The ways in which an attempt can fail. */
    public enum Kind {
        /** No byte of the request was sent. */
        NOT_SENT,
        /** The connection was closed before the response was complete. */
        CONNECTION_LOST,
        /** The head of the response did not arrive in time. */
        FIRST_BYTE_TIMEOUT,
        /** The time between two parts of the response was too long. */
        GAP_TIMEOUT,
        /** The response has the identifier of another request, or none. */
        MISMATCHED_ANSWER,
        /** The response ended without proof that it is complete. */
        TRUNCATED_ANSWER,
        /** The events of the response do not continue the stream that the caller has received. */
        BROKEN_SEQUENCE,
        /** The response, or one event of it, is longer than this node accepts. */
        OVERSIZED_ANSWER,
        /** The endpoint responded that it currently accepts no more work. */
        OVERLOADED,
        /** The endpoint responded with another server error. */
        SERVER_ERROR,
        /** The caller or this node cancelled the attempt. */
        CANCELLED
    }

    private final Kind kind;

    /**
     * Creates an exception.
     *
     * @param kind how the attempt failed
     * @param address the endpoint's address
     * @param detail what was observed, and the remedy
     * @param cause the underlying exception, or null
     */
    public EndpointFailureException(Kind kind, String address, String detail, Throwable cause) {
        super(String.format("endpoint %s: %s", address, detail), cause);
        this.kind = kind;
    }

    /**
     * Returns how the attempt failed.
     *
     * @return the kind of failure
     */
    public Kind getKind() {
        return kind;
    }

    /**
     * Returns whether it is certain that the endpoint received no part of the request.
     *
     * @return true if the call cannot have run
     */
    public boolean isNotSent() {
        return kind == Kind.NOT_SENT;
    }
}
