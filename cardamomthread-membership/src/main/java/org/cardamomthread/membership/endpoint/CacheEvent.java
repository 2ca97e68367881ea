package org.cardamomthread.membership.endpoint;

import java.util.List;

/**
 * Describes one change of an endpoint's prefix cache.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sequence the event number, which increases by one with each event of an incarnation, so
 *     that receivers can detect gaps
 * @param type {@code stored}, {@code evicted} or {@code cleared}
 * @param blocks the 64-bit hashes of the affected cache blocks
 */
public record CacheEvent(long sequence, String type, List<Long> blocks) {

    /** Makes a defensive copy of the block hashes. */
    public CacheEvent {
        blocks = List.copyOf(blocks);
    }
}
