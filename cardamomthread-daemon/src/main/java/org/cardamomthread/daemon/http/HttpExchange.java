package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Pairs a request with the way to answer it.
 *
 * <p>Exactly one answer is sent, whole or streamed; a later one is ignored. Safe for use by several
 * threads.
 */
public interface HttpExchange {

    /**
     * Returns the request.
     *
     * @return the request
     */
    HttpCall getCall();

    /**
     * Sends a whole answer.
     *
     * @param reply the answer
     */
    void respond(HttpReply reply);

    /**
     * Begins a streamed answer.
     *
     * @param status the status code
     * @param headers the headers, without those that frame the body
     * @return the stream to write the body to
     */
    ResponseStream startStream(int status, HttpHeaders headers);

    /**
     * Sets what runs if the caller closes the connection before the answer has been sent whole;
     * runs at once if that has happened.
     *
     * @param action the action, must not block
     */
    void onDisconnect(Runnable action);
}
