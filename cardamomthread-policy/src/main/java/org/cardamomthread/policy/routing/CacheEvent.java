package org.cardamomthread.policy.routing;

import java.util.Objects;

/**
 * Reports a change of an endpoint's prefix cache.
 *
 * <p>The blocks are not copied and must not be changed afterwards; safe for use by several threads
 * on that condition.
 *
 * @param sequence number of the event, rising by one from event to event
 * @param type what happened
 * @param blocks chained hashes of the blocks, empty for {@link Type#CLEARED}
 */
public record CacheEvent(long sequence, Type type, long[] blocks) {

    /** Names what happened to blocks. Immutable. */
    public enum Type {
        /** The blocks are now cached. */
        STORED,
        /** The blocks are no longer cached. */
        EVICTED,
        /** Nothing is cached any more. */
        CLEARED
    }

    /** Checks the parts. */
    public CacheEvent {
        Objects.requireNonNull(type, "type must be given");
        Objects.requireNonNull(blocks, "blocks must be given");
        if (sequence < 0) {
            throw new IllegalArgumentException("sequence " + sequence + " must be 0 or more");
        }
    }
}
