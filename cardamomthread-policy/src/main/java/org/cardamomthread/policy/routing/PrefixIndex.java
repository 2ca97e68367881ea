package org.cardamomthread.policy.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.EndpointId;

/**
 * Tracks which endpoints have which prompt blocks cached, based on cache events that may be delayed
 * or lost.
 *
 * <p>The memory for blocks is fixed at creation; at most {@value PrefixTable#HOLDERS_PER_BLOCK}
 * endpoints are recorded per block. A gap in the sequence numbers of an endpoint's events lowers
 * the confidence in its earlier entries until a block is reported again or the endpoint resyncs.
 * Because a block hash covers all preceding blocks, a recorded block implies that the endpoint also
 * has earlier blocks whose list of holders is full. The confidence in an entry decays with its age
 * and is zero beyond the maximum age. Duplicate and out-of-order events are ignored. Thread-safe:
 * all methods synchronize on the index.
 */
public final class PrefixIndex implements PrefixCacheEstimator {

    private static final double UNKNOWN_LIFETIME_MS = -1;
    private static final double UNCERTAIN_CONFIDENCE_FACTOR = 0.5;
    private static final double MIN_CONFIDENCE = 0.05;
    private static final double LIFETIME_SMOOTHING_FACTOR = 0.1;

    /** Typical time between two calls with the same prompt. */
    private static final double TYPICAL_REUSE_INTERVAL_MS = 60_000;

    private final PrefixTable table;
    private final long halfLifeMs;
    private final long maxAgeMs;
    private final Map<EndpointId, EndpointCache> caches = new HashMap<>();
    private final List<EndpointCache> cachesBySlot = new ArrayList<>();
    private final List<Integer> freeSlots = new ArrayList<>();
    private final Map<Integer, Long> nextTagBySlot = new HashMap<>();

    /**
     * Creates an empty index.
     *
     * @param capacityBlocks maximum number of blocks, from 16 to 2^27, rounded up to a power of two
     * @param halfLifeMs time in which the confidence in an entry halves, in milliseconds, above
     *     zero
     * @param maxAgeMs age beyond which an entry is disregarded, in milliseconds, above zero
     */
    public PrefixIndex(int capacityBlocks, long halfLifeMs, long maxAgeMs) {
        if (halfLifeMs <= 0 || maxAgeMs <= 0) {
            throw new IllegalArgumentException("halfLifeMs and maxAgeMs must be greater than 0");
        }
        this.table = new PrefixTable(capacityBlocks);
        this.halfLifeMs = halfLifeMs;
        this.maxAgeMs = maxAgeMs;
    }

    /**
     * Applies a cache event of an endpoint.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return true if events were missed and the endpoint should be asked for a resync
     */
    public synchronized boolean apply(EndpointId endpoint, CacheEvent event, long nowMs) {
        EndpointCache cache = getOrCreateCache(endpoint);
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
            case CLEARED -> cache.invalidateEntries();
            default ->
                    throw new IllegalArgumentException(
                            "cache event type " + event.type() + " is unknown");
        }
        return cache.uncertainBeforeMs > 0;
    }

    /**
     * Replaces all entries of an endpoint with its full list of cached blocks.
     *
     * @param sequence sequence number of the last event that the list includes
     * @param blocks chained hashes of the cached blocks
     * @param nowMs monotonic time, in milliseconds
     */
    public synchronized void resync(EndpointId endpoint, long sequence, long[] blocks, long nowMs) {
        EndpointCache cache = getOrCreateCache(endpoint);
        long[] storedAtMs = new long[blocks.length];
        for (int i = 0; i < blocks.length; i++) {
            long knownMs = table.storedAtMs(blocks[i], cache.tag);
            storedAtMs[i] = knownMs == 0 ? nowMs + 1 : knownMs;
        }
        cache.invalidateEntries();
        cache.lastSequence = sequence;
        for (int i = 0; i < blocks.length; i++) {
            table.store(blocks[i], cache.tag, storedAtMs[i]);
        }
    }

    /**
     * Records that a prompt was sent to an endpoint, which will have it cached before the cache
     * event arrives.
     *
     * @param prefix block hashes of the prompt
     * @param nowMs monotonic time, in milliseconds
     */
    public synchronized void recordSentPrompt(
            EndpointId endpoint, PromptPrefix prefix, long nowMs) {
        EndpointCache cache = getOrCreateCache(endpoint);
        for (int k = 0; k < prefix.blockCount(); k++) {
            table.store(prefix.blockHash(k), cache.tag, nowMs + 1);
        }
    }

    /** Removes all entries of an endpoint that left or restarted. */
    public synchronized void remove(EndpointId endpoint) {
        EndpointCache cache = caches.remove(endpoint);
        if (cache != null) {
            cache.invalidateEntries();
            cachesBySlot.set(cache.slot, null);
            freeSlots.add(cache.slot);
            nextTagBySlot.put(cache.slot, cache.tag);
        }
    }

    @Override
    public synchronized double estimateCachedTokens(
            EndpointId endpoint, PromptPrefix prefix, long nowMs) {
        EndpointCache cache = caches.get(endpoint);
        if (cache == null) {
            return 0;
        }
        double cachedBlocks = 0;
        int impliedBlocks = 0;
        long lastStoredAtMs = 0;
        double confidence = 0;
        for (int k = 0; k < prefix.blockCount(); k++) {
            long block = prefix.blockHash(k);
            long storedAtMs = table.storedAtMs(block, cache.tag);
            if (storedAtMs != lastStoredAtMs) {
                confidence = confidence(cache, storedAtMs, nowMs);
                lastStoredAtMs = storedAtMs;
            }
            if (confidence >= MIN_CONFIDENCE) {
                cachedBlocks += (1 + impliedBlocks) * confidence;
                impliedBlocks = 0;
            } else if (table.hasMaxHolders(block)) {
                impliedBlocks++;
            } else {
                break;
            }
        }
        return cachedBlocks * prefix.tokensPerBlock();
    }

    @Override
    public synchronized double retentionProbability(EndpointId endpoint, long nowMs) {
        EndpointCache cache = caches.get(endpoint);
        if (cache == null || cache.meanLifetimeMs == UNKNOWN_LIFETIME_MS) {
            return 1;
        }
        double lifetimeMs = Math.max(cache.meanLifetimeMs, nowMs - cache.lastEvictionAtMs);
        return lifetimeMs / (lifetimeMs + TYPICAL_REUSE_INTERVAL_MS);
    }

    @Override
    public synchronized List<EndpointId> likelyHolders(PromptPrefix prefix, int limit, long nowMs) {
        List<EndpointId> holders = new ArrayList<>(limit);
        int depth = 0;
        while (depth < prefix.blockCount() && table.contains(prefix.blockHash(depth))) {
            depth++;
        }
        for (int k = depth; k > 0 && holders.size() < limit; k = k / 2) {
            addHolders(holders, prefix.blockHash(k - 1), limit, nowMs);
        }
        return holders;
    }

    private void addHolders(List<EndpointId> holders, long block, int limit, long nowMs) {
        for (int holderIndex = 0;
                holderIndex < PrefixTable.HOLDERS_PER_BLOCK && holders.size() < limit;
                holderIndex++) {
            long tag = table.holder(block, holderIndex);
            EndpointCache cache =
                    tag == PrefixTable.NO_HOLDER ? null : cachesBySlot.get(slotOf(tag));
            if (cache != null
                    && cache.tag == tag
                    && confidence(cache, table.storedAtMs(block, tag), nowMs) >= MIN_CONFIDENCE
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
        if (ageMs > maxAgeMs) {
            return 0;
        }
        double confidenceByAge = Math.pow(0.5, ageMs / halfLifeMs);
        return storedAtMs < cache.uncertainBeforeMs
                ? confidenceByAge * UNCERTAIN_CONFIDENCE_FACTOR
                : confidenceByAge;
    }

    private void storeAll(EndpointCache cache, long[] blocks, long storedAtMs) {
        for (long block : blocks) {
            table.store(block, cache.tag, storedAtMs);
        }
    }

    private void removeAll(EndpointCache cache, long[] blocks, long nowMs) {
        double totalAgeMs = 0;
        int evictedBlocks = 0;
        for (long block : blocks) {
            long storedAtMs = table.storedAtMs(block, cache.tag);
            if (storedAtMs > 0) {
                totalAgeMs += Math.max(0, nowMs - storedAtMs);
                evictedBlocks++;
                table.remove(block, cache.tag);
            }
        }
        if (evictedBlocks > 0) {
            cache.recordEviction(totalAgeMs / evictedBlocks, nowMs);
        }
    }

    private EndpointCache getOrCreateCache(EndpointId endpoint) {
        return caches.computeIfAbsent(endpoint, this::newCache);
    }

    private EndpointCache newCache(EndpointId endpoint) {
        int slot;
        long tag;
        if (freeSlots.isEmpty()) {
            slot = cachesBySlot.size();
            cachesBySlot.add(null);
            tag = slot;
        } else {
            slot = freeSlots.remove(freeSlots.size() - 1);
            tag = nextTagBySlot.remove(slot);
        }
        EndpointCache cache = new EndpointCache(endpoint, slot, tag);
        cachesBySlot.set(slot, cache);
        return cache;
    }

    private static int slotOf(long tag) {
        return (int) tag;
    }

    /**
     * Tracks the prefix cache of one endpoint. The tag identifies its entries in the table; a new
     * tag invalidates all of them at once.
     */
    private static final class EndpointCache {

        private static final long GENERATION_INCREMENT = 1L << 32;

        private final EndpointId endpoint;
        private final int slot;
        private long tag;
        private long lastSequence = -1;
        private long uncertainBeforeMs; // zero if no events were missed
        private double meanLifetimeMs = UNKNOWN_LIFETIME_MS;
        private long lastEvictionAtMs;

        EndpointCache(EndpointId endpoint, int slot, long tag) {
            this.endpoint = endpoint;
            this.slot = slot;
            this.tag = tag;
        }

        void recordEviction(double ageMs, long nowMs) {
            lastEvictionAtMs = nowMs;
            meanLifetimeMs =
                    meanLifetimeMs == UNKNOWN_LIFETIME_MS
                            ? ageMs
                            : meanLifetimeMs + LIFETIME_SMOOTHING_FACTOR * (ageMs - meanLifetimeMs);
        }

        void invalidateEntries() {
            tag += GENERATION_INCREMENT;
            uncertainBeforeMs = 0;
        }
    }
}
