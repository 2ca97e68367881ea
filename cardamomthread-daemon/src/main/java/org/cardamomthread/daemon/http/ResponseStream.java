package org.cardamomthread.daemon.http;

/** Writes the body of a streamed answer in order. Safe for use by one thread at a time. */
public interface ResponseStream {

    /**
     * Writes a part of the body.
     *
     * @param part the bytes, not changed afterwards
     */
    void write(byte[] part);

    /** Ends the body; the caller sees a whole answer. */
    void finish();

    /** Closes the connection without ending the body; the caller sees a truncated answer. */
    void abort();

    /**
     * Returns the number of bytes that the caller has not taken yet.
     *
     * @return bytes waiting
     */
    long getPendingBytes();
}
