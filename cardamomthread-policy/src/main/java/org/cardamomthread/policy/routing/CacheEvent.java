package org.cardamomthread.policy.routing;

import java.util.Objects;

/**
 * Describes a change in the prefix cache of an endpoint.
 *
 * <p>The block array is not copied and must not be modified afterwards; under that condition the
 * event is thread-safe.
 *
 * @param sequence sequence number of the event at its endpoint, incremented by one for each event
 * @param type type of the change
 * @param blocks chained hashes of the blocks, empty for {@link Type#CLEARED}
 */
public record CacheEvent(long sequence, Type type, long[] blocks) {

    /** Types of changes. */
    public enum Type {
        /** The blocks were added to the cache. */
        STORED,
        /** The blocks were removed from the cache. */
        EVICTED,
        /** The whole cache was emptied. */
        CLEARED
    }

    /** Validates the components. */
    public CacheEvent {
        Objects.requireNonNull(type, "type must not be null");
        Objects.requireNonNull(blocks, "blocks must not be null");
        if (sequence < 0) {
            throw new IllegalArgumentException("sequence " + sequence + " must be 0 or more");
        }
    }
}
