package org.cardamomthread.daemon.dispatch;

/**
 * Says which answers of an endpoint are accepted. Immutable.
 *
 * @param correlationHeader the header that returns the request's identifier
 * @param mayEndWithConnection whether a body without a length may end with the orderly close of its
 *     connection
 * @param mayOmitIdInRefusal whether a status of 400 or above may lack the identifier on a
 *     connection that has carried no other request
 */
public record AnswerForm(
        String correlationHeader, boolean mayEndWithConnection, boolean mayOmitIdInRefusal) {

    /** The form of endpoints that speak the system's own protocol. */
    public static final AnswerForm STANDARD = new AnswerForm("x-request-id", false, false);
}
