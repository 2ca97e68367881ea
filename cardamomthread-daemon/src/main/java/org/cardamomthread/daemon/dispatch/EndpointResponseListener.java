package org.cardamomthread.daemon.dispatch;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the answer of one attempt.
 *
 * <p>Calls come in order from one thread: {@link #onHead} at most once, {@link #onPart} any number
 * of times, then exactly one of {@link #onComplete} and {@link #onFailure}. Implementations must
 * not block.
 */
public interface EndpointResponseListener {

    /**
     * Receives the head of the answer, whose request identifier has been checked.
     *
     * @param status the status code
     * @param headers the headers
     */
    void onHead(int status, HttpHeaders headers);

    /**
     * Receives a part of the body.
     *
     * @param part the bytes, owned by the listener
     */
    void onPart(byte[] part);

    /** Tells that the body has arrived whole by its framing. */
    void onComplete();

    /**
     * Tells that the attempt failed; nothing follows.
     *
     * @param failure what failed, and whether the endpoint can have seen the call
     */
    void onFailure(EndpointFailureException failure);
}
