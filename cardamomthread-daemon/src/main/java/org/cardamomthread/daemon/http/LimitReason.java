package org.cardamomthread.daemon.http;

/** Names the limit that a client reached. Immutable. */
public enum LimitReason {
    /** The head has too many lines. */
    HEADER_LINES("header-lines"),
    /** The request line or the head is too long. */
    HEADER_BYTES("header-bytes"),
    /** There are too many empty lines before the request. */
    EMPTY_LINES("empty-lines"),
    /** The trailers of a chunked body have too many lines. */
    TRAILER_LINES("trailer-lines"),
    /** The sizes, extensions and trailers of the chunks of a body are too long. */
    CHUNK_FRAMING("chunk-framing"),
    /** The body is too long. */
    BODY_BYTES("body-bytes"),
    /** The head was not received in time. */
    HEAD_TIMEOUT("head-timeout"),
    /** The body was not received in time. */
    BODY_TIMEOUT("body-timeout"),
    /** No part of the body was received for too long. */
    BODY_STALLED("body-stalled"),
    /** The client took no part of a response for too long. */
    RESPONSE_STALLED("response-stalled"),
    /** Too many requests were sent before the response to the first one. */
    PIPELINED_REQUESTS("pipelined-requests"),
    /** The process held more for clients than it has memory for. */
    MEMORY("memory"),
    /** Too many connections were open. */
    CONNECTIONS("connections");

    private final String text;

    LimitReason(String text) {
        this.text = text;
    }

    /**
     * Returns the name of the limit in metrics and log lines.
     *
     * @return the name
     */
    public String text() {
        return text;
    }
}
