package org.cardamomthread.daemon.dispatch;

import org.cardamomthread.core.CardamomthreadException;

/** Reports that one attempt on an endpoint failed. */
public final class EndpointFailureException extends CardamomthreadException {

    private static final long serialVersionUID = 1L;

    /** Says how an attempt failed. */
    public enum Kind {
        /** No byte of the call left this node. */
        NOT_SENT,
        /** The connection closed before the answer was whole. */
        CONNECTION_LOST,
        /** The answer's head did not arrive in time. */
        FIRST_BYTE_TIMEOUT,
        /** The answer stopped for too long between two parts. */
        GAP_TIMEOUT,
        /** The answer carries the identifier of another request, or none. */
        MISMATCHED_ANSWER,
        /** The answer ended without proof that it is whole. */
        TRUNCATED_ANSWER,
        /** The endpoint answered that it takes no more work now. */
        OVERLOADED,
        /** The endpoint answered with another error of its own. */
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
     * @param detail what was seen, and the remedy
     * @param cause the failure below, or null
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
     * Tells whether it is certain that the endpoint has seen nothing of the call.
     *
     * @return true if the call cannot have run
     */
    public boolean isCertainlyNotRun() {
        return kind == Kind.NOT_SENT;
    }
}
