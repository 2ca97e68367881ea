package org.cardamomthread.daemon.forwarding;

import java.util.OptionalLong;

/**
 * Describes an answer that this gateway gives itself. Immutable.
 *
 * @param status the HTTP status code; 408, 421, 429 and 503 promise that the request never runs
 * @param type the last part of the problem's type, also the reason in logs and metrics
 * @param title what kind of problem it is
 * @param detail what is wrong in this case and the remedy
 * @param retryAfterMs when a client may try again, in milliseconds, or empty
 */
record GatewayError(
        int status, String type, String title, String detail, OptionalLong retryAfterMs) {

    static GatewayError of(int status, String type, String title, String detail) {
        return new GatewayError(status, type, title, detail, OptionalLong.empty());
    }

    static GatewayError unavailable(String type, String detail, long retryAfterMs) {
        return new GatewayError(
                503, type, "Service unavailable", detail, OptionalLong.of(retryAfterMs));
    }

    /** Tells whether the status promises that the request never runs. */
    boolean guaranteesNotRun() {
        return status < 500 || status == 503;
    }
}
