package org.cardamomthread.daemon.http;

/** Signals that a request exceeds a limit and is not decoded further. Immutable. */
final class ClientLimitException extends Exception {

    private static final long serialVersionUID = 1L;

    private final LimitReason reason;

    ClientLimitException(LimitReason reason) {
        super("the request exceeds the limit " + reason.text());
        this.reason = reason;
    }

    LimitReason reason() {
        return reason;
    }
}
