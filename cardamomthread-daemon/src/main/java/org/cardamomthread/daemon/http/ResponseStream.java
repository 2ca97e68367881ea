package org.cardamomthread.daemon.http;

/**
 * Writes the body of a streamed response. Must be used by one thread at a time. Calls after the end
 * of the stream have no effect.
 */
public interface ResponseStream {

    /**
     * Writes a part of the body without blocking.
     *
     * @param part the bytes, which must not be modified afterwards
     */
    void write(byte[] part);

    /** Completes the body. The caller sees a complete response. */
    void finish();

    /**
     * Closes the connection without completing the body, unless the whole response was written. The
     * caller sees a truncated response.
     */
    void abort();

    /**
     * Returns the number of bytes that were not yet written to the connection.
     *
     * @return the number of pending bytes
     */
    long getPendingBytes();
}
