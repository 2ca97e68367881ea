package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.policy.routing.PromptPrefix;

/** An LRU cache of prompt blocks, as in an inference engine. */
final class SimulatedPrefixCache {

    private final int capacityBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    SimulatedPrefixCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** Returns the number of leading blocks of a prompt that are cached and marks them as used. */
    int leadingCachedBlocks(PromptPrefix prefix) {
        int cached = 0;
        while (cached < prefix.blockCount() && blocks.get(prefix.blockHash(cached)) != null) {
            cached++;
        }
        return cached;
    }

    /** Stores the blocks of a prompt and returns the evicted blocks. */
    List<Long> store(PromptPrefix prefix) {
        for (int k = prefix.blockCount() - 1; k >= 0; k--) {
            blocks.put(prefix.blockHash(k), Boolean.TRUE);
        }
        List<Long> evicted = new ArrayList<>();
        Iterator<Long> iterator = blocks.keySet().iterator();
        while (blocks.size() > capacityBlocks && iterator.hasNext()) {
            evicted.add(iterator.next());
            iterator.remove();
        }
        return evicted;
    }

    long[] contents() {
        return blocks.keySet().stream().mapToLong(Long::longValue).toArray();
    }

    void clear() {
        blocks.clear();
    }
}
