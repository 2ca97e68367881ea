package org.cardamomthread.daemon.forwarding;

/**
 * Limits the bytes that the responses of one gateway hold back together, so that an endpoint which
 * sends much to many requests at once does not fill the memory.
 *
 * <p>Invariant: the reserved bytes never exceed the maximum. Must be used on one event loop.
 */
final class HeldBytesBudget {

    /** A seventh of the heap with which gateways are started. */
    private static final long DEFAULT_MAX_BYTES = 8L * 1024 * 1024;

    private final long maxBytes;
    private long reservedBytes;

    HeldBytesBudget() {
        this(DEFAULT_MAX_BYTES);
    }

    HeldBytesBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Reserves bytes, or returns false if too many are reserved. */
    boolean tryReserve(long bytes) {
        if (bytes > maxBytes - reservedBytes) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }
}
