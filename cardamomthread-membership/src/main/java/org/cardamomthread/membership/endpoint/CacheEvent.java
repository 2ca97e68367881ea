package org.cardamomthread.membership.endpoint;

import java.util.List;

/**
 * Reports a change of an endpoint's prefix cache.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param sequence rises by one with each event of an incarnation
 * @param type stored, evicted or cleared
 * @param blocks 64-bit hashes of the blocks
 */
public record CacheEvent(long sequence, String type, List<Long> blocks) {

    /** Copies the blocks. */
    public CacheEvent {
        blocks = List.copyOf(blocks);
    }
}
