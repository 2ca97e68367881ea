package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.EndpointId;

/**
 * Remembers which endpoints hold which prompt blocks, from cache events that are late and may be
 * lost.
 *
 * <p>Invariants: memory is fixed at creation; each block remembers at most {@value
 * PrefixTable#HOLDERS} endpoints. A gap in an endpoint's event numbers makes all that was known of
 * it before the gap uncertain until the block is reported again or the endpoint resyncs. As a hash
 * covers all blocks before it, a known block implies earlier ones whose holders are too many to
 * remember. Entries lose confidence with age and count as absent after the greatest age. Events
 * that arrive twice or after newer ones are ignored. Safe for use by several threads; all methods
 * lock the index.
 */
public final class PrefixIndex implements PrefixKnowledge {

    private static final double UNKNOWN_LIFETIME = -1;
    private static final double UNCERTAIN_CONFIDENCE = 0.5;
    private static final double LEAST_CONFIDENCE = 0.05;
    private static final double NEWEST_LIFETIME_WEIGHT = 0.1;
    private static final double REUSE_MS = 60_000; // usual time between calls with one prompt

    private final PrefixTable table;
    private final long halfLifeMs;
    private final long greatestAgeMs;
    private final Map<EndpointId, EndpointCache> caches = new HashMap<>();
    private final List<EndpointCache> bySlot = new ArrayList<>();
    private final List<Integer> freeSlots = new ArrayList<>();
    private final Map<Integer, Long> freeTags = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param capacityBlocks blocks to remember, at least 16, rounded up to a power of two
     * @param halfLifeMs age at which confidence in an entry has halved, in milliseconds
     * @param greatestAgeMs age at which an entry is dropped, in milliseconds
     */
    public PrefixIndex(int capacityBlocks, long halfLifeMs, long greatestAgeMs) {
        if (halfLifeMs <= 0 || greatestAgeMs <= 0) {
            throw new IllegalArgumentException("halfLifeMs and greatestAgeMs must be above 0");
        }
        this.table = new PrefixTable(capacityBlocks);
        this.halfLifeMs = halfLifeMs;
        this.greatestAgeMs = greatestAgeMs;
    }

    /**
     * Applies one cache event of an endpoint.
     *
     * @param endpoint the endpoint
     * @param event the event
     * @param nowMs monotonic time, in milliseconds
     * @return true if the endpoint has to be asked for a resync
     */
    public synchronized boolean apply(EndpointId endpoint, CacheEvent event, long nowMs) {
        EndpointCache cache = cacheOf(endpoint);
        if (cache.lastSequence >= 0 && event.sequence() <= cache.lastSequence) {
            return cache.uncertainBeforeMs > 0;
        }
        if (cache.lastSequence >= 0 && event.sequence() > cache.lastSequence + 1) {
            cache.uncertainBeforeMs = nowMs + 1;
        }
        cache.lastSequence = event.sequence();
        switch (event.type()) {
            case STORED -> storeAll(cache, event.blocks(), nowMs + 1);
            case EVICTED -> removeAll(cache, event.blocks(), nowMs);
            case CLEARED -> cache.forget();
            default -> throw new IllegalArgumentException("type " + event.type() + " is unknown");
        }
        return cache.uncertainBeforeMs > 0;
    }

    /**
     * Replaces what is known of an endpoint by its full list of blocks.
     *
     * @param endpoint the endpoint
     * @param sequence number of the last event that the list covers
     * @param blocks the blocks that it holds
     * @param nowMs monotonic time, in milliseconds
     */
    public synchronized void resync(EndpointId endpoint, long sequence, long[] blocks, long nowMs) {
        EndpointCache cache = cacheOf(endpoint);
        long[] storedAtMs = new long[blocks.length];
        for (int i = 0; i < blocks.length; i++) {
            long knownMs = table.storedAtMs(blocks[i], cache.tag);
            storedAtMs[i] = knownMs == 0 ? nowMs + 1 : knownMs;
        }
        cache.forget();
        cache.lastSequence = sequence;
        for (int i = 0; i < blocks.length; i++) {
            table.store(blocks[i], cache.tag, storedAtMs[i]);
        }
    }

    /**
     * Notes that a prompt was sent to an endpoint, which will hold it before its event arrives.
     *
     * @param endpoint the endpoint
     * @param prefix the prompt's blocks
     * @param nowMs monotonic time, in milliseconds
     */
    public synchronized void expect(EndpointId endpoint, PromptPrefix prefix, long nowMs) {
        EndpointCache cache = cacheOf(endpoint);
        for (int k = 0; k < prefix.length(); k++) {
            table.store(prefix.block(k), cache.tag, nowMs + 1);
        }
    }

    /**
     * Forgets an endpoint that left or started anew.
     *
     * @param endpoint the endpoint
     */
    public synchronized void remove(EndpointId endpoint) {
        EndpointCache cache = caches.remove(endpoint);
        if (cache != null) {
            cache.forget();
            bySlot.set(cache.slot, null);
            freeSlots.add(cache.slot);
            freeTags.put(cache.slot, cache.tag);
        }
    }

    @Override
    public synchronized double cachedTokens(EndpointId endpoint, PromptPrefix prefix, long nowMs) {
        EndpointCache cache = caches.get(endpoint);
        if (cache == null) {
            return 0;
        }
        double blocks = 0;
        int implied = 0;
        long lastStoredAtMs = 0;
        double confidence = 0;
        for (int k = 0; k < prefix.length(); k++) {
            long block = prefix.block(k);
            long storedAtMs = table.storedAtMs(block, cache.tag);
            if (storedAtMs != lastStoredAtMs) {
                confidence = confidence(cache, storedAtMs, nowMs);
                lastStoredAtMs = storedAtMs;
            }
            if (confidence >= LEAST_CONFIDENCE) {
                blocks += (1 + implied) * confidence;
                implied = 0;
            } else if (table.isFull(block)) {
                implied++;
            } else {
                break;
            }
        }
        return blocks * prefix.tokensPerBlock();
    }

    @Override
    public synchronized double retention(EndpointId endpoint, long nowMs) {
        EndpointCache cache = caches.get(endpoint);
        if (cache == null || cache.lifetimeMs == UNKNOWN_LIFETIME) {
            return 1;
        }
        double lifetimeMs = Math.max(cache.lifetimeMs, nowMs - cache.evictedAtMs);
        return lifetimeMs / (lifetimeMs + REUSE_MS);
    }

    @Override
    public synchronized List<EndpointId> likelyHolders(PromptPrefix prefix, int most, long nowMs) {
        List<EndpointId> holders = new ArrayList<>(most);
        int depth = 0;
        while (depth < prefix.length() && table.contains(prefix.block(depth))) {
            depth++;
        }
        for (int k = depth; k > 0 && holders.size() < most; k = k / 2) {
            addHolders(holders, prefix.block(k - 1), most, nowMs);
        }
        return holders;
    }

    private void addHolders(List<EndpointId> holders, long block, int most, long nowMs) {
        for (int way = 0; way < PrefixTable.HOLDERS && holders.size() < most; way++) {
            long tag = table.holder(block, way);
            EndpointCache cache = tag == PrefixTable.NOBODY ? null : bySlot.get(slotOf(tag));
            if (cache != null
                    && cache.tag == tag
                    && confidence(cache, table.storedAtMs(block, tag), nowMs) >= LEAST_CONFIDENCE
                    && !holders.contains(cache.endpoint)) {
                holders.add(cache.endpoint);
            }
        }
    }

    private double confidence(EndpointCache cache, long storedAtMs, long nowMs) {
        if (storedAtMs == 0) {
            return 0;
        }
        double ageMs = Math.max(0, nowMs - storedAtMs);
        if (ageMs > greatestAgeMs) {
            return 0;
        }
        double byAge = Math.pow(0.5, ageMs / halfLifeMs);
        return storedAtMs < cache.uncertainBeforeMs ? byAge * UNCERTAIN_CONFIDENCE : byAge;
    }

    private void storeAll(EndpointCache cache, long[] blocks, long storedAtMs) {
        for (long block : blocks) {
            table.store(block, cache.tag, storedAtMs);
        }
    }

    private void removeAll(EndpointCache cache, long[] blocks, long nowMs) {
        double sumMs = 0;
        int known = 0;
        for (long block : blocks) {
            long storedAtMs = table.storedAtMs(block, cache.tag);
            if (storedAtMs > 0) {
                sumMs += Math.max(0, nowMs - storedAtMs);
                known++;
                table.remove(block, cache.tag);
            }
        }
        if (known > 0) {
            cache.onEvicted(sumMs / known, nowMs);
        }
    }

    private EndpointCache cacheOf(EndpointId endpoint) {
        return caches.computeIfAbsent(endpoint, this::newCache);
    }

    private EndpointCache newCache(EndpointId endpoint) {
        int slot;
        long tag;
        if (freeSlots.isEmpty()) {
            slot = bySlot.size();
            bySlot.add(null);
            tag = slot;
        } else {
            slot = freeSlots.remove(freeSlots.size() - 1);
            tag = freeTags.remove(slot);
        }
        EndpointCache cache = new EndpointCache(endpoint, slot, tag);
        bySlot.set(slot, cache);
        return cache;
    }

    private static int slotOf(long tag) {
        return (int) tag;
    }

    /** Holds what is known of one endpoint; the tag changes whenever all entries become void. */
    private static final class EndpointCache {

        private static final long GENERATION = 1L << 32;

        private final EndpointId endpoint;
        private final int slot;
        private long tag;
        private long lastSequence = -1;
        private long uncertainBeforeMs;
        private double lifetimeMs = UNKNOWN_LIFETIME;
        private long evictedAtMs;

        EndpointCache(EndpointId endpoint, int slot, long tag) {
            this.endpoint = endpoint;
            this.slot = slot;
            this.tag = tag;
        }

        void onEvicted(double ageMs, long nowMs) {
            evictedAtMs = nowMs;
            lifetimeMs =
                    lifetimeMs == UNKNOWN_LIFETIME
                            ? ageMs
                            : lifetimeMs + NEWEST_LIFETIME_WEIGHT * (ageMs - lifetimeMs);
        }

        void forget() {
            tag += GENERATION;
            uncertainBeforeMs = 0;
        }
    }
}
