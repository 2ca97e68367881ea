package org.cardamomthread.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates an LRU cache of prompt blocks whose change events are reported late and may be lost.
 *
 * <p>Holds at most {@code maxBlocks} blocks. Confined to the event loop thread of the server.
 */
final class PrefixCache {

    static final int BLOCK_CHARACTERS = 64;
    static final int BLOCK_TOKENS = 16;

    private static final int MAX_EVENTS_PER_REPORT = 64;

    /** A change of the cache, reported once it is {@code reportDelayMs} old. */
    private record Event(long sequence, String type, List<Long> blocks, long atMs) {}

    private final int maxBlocks;
    private final long reportDelayMs;
    private final int eventLossInterval;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(int maxBlocks, long reportDelayMs, int eventLossInterval) {
        this.maxBlocks = maxBlocks;
        this.reportDelayMs = reportDelayMs;
        this.eventLossInterval = eventLossInterval;
    }

    /** Stores the blocks of a prompt and returns the number of its tokens that were cached. */
    int lookUpAndStore(String prompt, long nowMs) {
        List<Long> stored = new ArrayList<>();
        int cached = 0;
        for (long block : blockHashes(prompt)) {
            if (blocks.put(block, true) == null) {
                stored.add(block);
            } else if (stored.isEmpty()) {
                cached++;
            }
        }
        report("stored", stored, nowMs);
        evict(nowMs);
        return cached * BLOCK_TOKENS;
    }

    void clear(long nowMs) {
        blocks.clear();
        sequence++;
        events.add(new Event(sequence, "cleared", List.of(), nowMs));
    }

    double usedFraction() {
        return (double) blocks.size() / maxBlocks;
    }

    /** Moves the events that are at least as old as the report delay to a report. */
    void drainTo(ArrayNode report, long nowMs) {
        while (!events.isEmpty()
                && report.size() < MAX_EVENTS_PER_REPORT
                && nowMs - events.peek().atMs() >= reportDelayMs) {
            Event event = events.poll();
            ArrayNode blockNames =
                    report.addObject()
                            .put("sequence", event.sequence())
                            .put("type", event.type())
                            .putArray("blocks");
            event.blocks().forEach(block -> blockNames.add(Long.toHexString(block)));
        }
    }

    private void evict(long nowMs) {
        List<Long> evicted = new ArrayList<>();
        while (blocks.size() > maxBlocks) {
            long oldest = blocks.keySet().iterator().next();
            blocks.remove(oldest);
            evicted.add(oldest);
        }
        report("evicted", evicted, nowMs);
    }

    private void report(String type, List<Long> changed, long nowMs) {
        if (changed.isEmpty()) {
            return;
        }
        sequence++;
        boolean isLost = eventLossInterval > 0 && sequence % eventLossInterval == 0;
        if (!isLost) {
            events.add(new Event(sequence, type, changed, nowMs));
        }
    }

    private static long[] blockHashes(String prompt) {
        long[] hashes = new long[prompt.length() / BLOCK_CHARACTERS];
        long previous = 0;
        for (int k = 0; k < hashes.length; k++) {
            String block = prompt.substring(k * BLOCK_CHARACTERS, (k + 1) * BLOCK_CHARACTERS);
            previous =
                    Hashing.xxh3_64().hashStream().putLong(previous).putString(block).getAsLong();
            hashes[k] = previous;
        }
        return hashes;
    }
}
