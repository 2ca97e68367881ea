package org.cardamomthread.standin.engine;

import com.dynatrace.hash4j.hashing.Hashing;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the prompt blocks used last and reports changes late and with gaps.
 *
 * <p>Invariant: holds at most its bound of blocks. Used on the one thread of the server only.
 */
final class PrefixCache {

    static final int BLOCK_CHARACTERS = 64;
    static final int BLOCK_TOKENS = 16;

    private static final int MAX_EVENTS_A_REPORT = 64;

    /** A change that is reported once it is old enough. */
    private record Event(long sequence, String type, List<Long> blocks, long atMs) {}

    private final int maxBlocks;
    private final long reportDelayMs;
    private final int gapEvery;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private long sequence;

    PrefixCache(int maxBlocks, long reportDelayMs, int gapEvery) {
        this.maxBlocks = maxBlocks;
        this.reportDelayMs = reportDelayMs;
        this.gapEvery = gapEvery;
    }

    /** Returns the tokens that need no computation, and stores the prompt. */
    int use(String prompt, long nowMs) {
        List<Long> stored = new ArrayList<>();
        int cached = 0;
        for (long block : hashes(prompt)) {
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

    /** Moves the events that are old enough to a report. */
    void drainTo(ArrayNode report, long nowMs) {
        while (!events.isEmpty()
                && report.size() < MAX_EVENTS_A_REPORT
                && nowMs - events.peek().atMs() >= reportDelayMs) {
            Event event = events.poll();
            ArrayNode names =
                    report.addObject()
                            .put("sequence", event.sequence())
                            .put("type", event.type())
                            .putArray("blocks");
            event.blocks().forEach(block -> names.add(Long.toHexString(block)));
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
        boolean isLost = gapEvery > 0 && sequence % gapEvery == 0;
        if (!isLost) {
            events.add(new Event(sequence, type, changed, nowMs));
        }
    }

    private static long[] hashes(String prompt) {
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
