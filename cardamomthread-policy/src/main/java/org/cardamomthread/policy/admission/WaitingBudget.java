package org.cardamomthread.policy.admission;

/**
 * Bounds the number and the bytes of the requests that wait in all {@link WaitingRoom}s of a
 * gateway.
 *
 * <p>Invariant: neither bound is exceeded. Not thread-safe.
 */
public final class WaitingBudget {

    /**
     * Part of the bytes below which the size of a request does not matter for its admission, so
     * that the small requests of a kind do not take all places from its large ones.
     */
    private static final int SIZE_NEUTRAL_DIVISOR = 8;

    private final int maxRequests;
    private final long maxBytes;
    private int requests;
    private long heldBytes;

    /**
     * Creates an unused budget.
     *
     * @param maxRequests maximum number of waiting requests, 0 if none may wait
     * @param maxBytes maximum bytes of the waiting requests, 0 if none may wait
     */
    public WaitingBudget(int maxRequests, long maxBytes) {
        if (maxRequests < 0 || maxBytes < 0) {
            throw new IllegalArgumentException(
                    "maxRequests and maxBytes must be 0 or more, got "
                            + maxRequests
                            + " and "
                            + maxBytes);
        }
        this.maxRequests = maxRequests;
        this.maxBytes = maxBytes;
    }

    boolean hasPlaceFor(long bytes) {
        long countedBytes = Math.max(bytes, maxBytes / SIZE_NEUTRAL_DIVISOR);
        return requests < maxRequests && countedBytes <= maxBytes - heldBytes;
    }

    void add(long bytes) {
        requests++;
        heldBytes += bytes;
    }

    void remove(long bytes) {
        requests--;
        heldBytes -= bytes;
    }

    int maxRequests() {
        return maxRequests;
    }
}
