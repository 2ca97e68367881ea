package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.policy.routing.PromptPrefix;

/** Keeps the blocks used last, as an engine's prefix cache does. */
final class FakePrefixCache {

    private final int capacityBlocks;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    FakePrefixCache(int capacityBlocks) {
        this.capacityBlocks = capacityBlocks;
    }

    /** Returns how many leading blocks of a prompt are cached, and marks them as used. */
    int hits(PromptPrefix prefix) {
        int hits = 0;
        while (hits < prefix.length() && blocks.get(prefix.block(hits)) != null) {
            hits++;
        }
        return hits;
    }

    /** Stores a prompt and returns the blocks that had to give way. */
    List<Long> store(PromptPrefix prefix) {
        for (int k = prefix.length() - 1; k >= 0; k--) {
            blocks.put(prefix.block(k), Boolean.TRUE);
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
