package org.cardamomthread.daemon.dispatch;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the response of one attempt.
 *
 * <p>Methods are called in order, by one thread at a time: {@link #onHead} at most once, {@link
 * #onBodyPart} any number of times, then exactly one of {@link #onComplete} and {@link #onFailure}.
 * Implementations must not block.
 */
public interface EndpointResponseListener {

    /**
     * Called when the head of the response has arrived and its request identifier was verified.
     *
     * @param status the status code
     * @param headers the response headers
     */
    void onHead(int status, HttpHeaders headers);

    /**
     * Called for each part of the body.
     *
     * @param part the bytes, which the listener may keep
     */
    void onBodyPart(byte[] part);

    /** Called when the body is complete according to its framing. */
    void onComplete();

    /**
     * Called when the attempt failed; no further method is called.
     *
     * @param failure how the attempt failed, and whether the endpoint may have received the call
     */
    void onFailure(EndpointFailureException failure);
}
