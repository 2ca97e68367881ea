package org.cardamomthread.policy.routing;

/**
 * Maps block hashes to the tags of the endpoints that have them cached, in an open-addressing hash
 * table of fixed size.
 *
 * <p>A block is stored in one of the {@value #MAX_PROBES} buckets that start at its hash; if all of
 * them are occupied, the least recently stored block is replaced. A block has at most {@value
 * #HOLDERS_PER_BLOCK} holders; another one replaces the oldest. Nothing is allocated after
 * construction. Not thread-safe.
 */
final class PrefixTable {

    static final int HOLDERS_PER_BLOCK = 4;
    static final long NO_HOLDER = -1;

    private static final int MAX_PROBES = 8;
    private static final int MIN_CAPACITY_BLOCKS = 16;

    /** Multiplier for Fibonacci hashing: 2^64 divided by the golden ratio. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final int mask;
    private final long[] hashes;
    private final long[] holders;
    private final long[] storedAtMs;

    PrefixTable(int capacityBlocks) {
        if (capacityBlocks < MIN_CAPACITY_BLOCKS || capacityBlocks > 1 << 27) {
            throw new IllegalArgumentException(
                    "capacityBlocks " + capacityBlocks + " must be 16 to 2^27");
        }
        int capacity = Integer.highestOneBit(capacityBlocks - 1) << 1;
        mask = capacity - 1;
        hashes = new long[capacity];
        holders = new long[capacity * HOLDERS_PER_BLOCK];
        storedAtMs = new long[capacity * HOLDERS_PER_BLOCK];
    }

    /**
     * Records that a holder has a block cached. The time must be greater than zero, because zero
     * marks an unused entry.
     */
    void store(long hash, long tag, long atMs) {
        int bucket = findBucket(hash);
        if (bucket < 0) {
            bucket = selectBucketToReplace(hash);
            hashes[bucket] = hash;
            clearHolders(bucket);
        }
        int firstIndex = bucket * HOLDERS_PER_BLOCK;
        int targetIndex = firstIndex;
        for (int index = firstIndex; index < firstIndex + HOLDERS_PER_BLOCK; index++) {
            if (storedAtMs[index] != 0 && holders[index] == tag) {
                targetIndex = index;
                break;
            }
            if (storedAtMs[index] < storedAtMs[targetIndex]) {
                targetIndex = index;
            }
        }
        holders[targetIndex] = tag;
        storedAtMs[targetIndex] = atMs;
    }

    void remove(long hash, long tag) {
        int index = findHolderIndex(hash, tag);
        if (index >= 0) {
            storedAtMs[index] = 0;
        }
    }

    boolean contains(long hash) {
        int bucket = findBucket(hash);
        return bucket >= 0 && newestStoredAtMs(bucket) > 0;
    }

    /**
     * Returns whether the list of holders of a block is full, so that there may be others that are
     * not recorded.
     */
    boolean hasMaxHolders(long hash) {
        int bucket = findBucket(hash);
        if (bucket < 0) {
            return false;
        }
        for (int index = bucket * HOLDERS_PER_BLOCK;
                index < (bucket + 1) * HOLDERS_PER_BLOCK;
                index++) {
            if (storedAtMs[index] == 0) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the time at which the holder stored the block, in milliseconds, or zero if it is not
     * recorded as a holder.
     */
    long storedAtMs(long hash, long tag) {
        int index = findHolderIndex(hash, tag);
        return index < 0 ? 0 : storedAtMs[index];
    }

    /**
     * Returns the tag of the holder of a block at an index below {@link #HOLDERS_PER_BLOCK}, or
     * {@link #NO_HOLDER}.
     */
    long holder(long hash, int index) {
        int bucket = findBucket(hash);
        if (bucket < 0 || storedAtMs[bucket * HOLDERS_PER_BLOCK + index] == 0) {
            return NO_HOLDER;
        }
        return holders[bucket * HOLDERS_PER_BLOCK + index];
    }

    private int findHolderIndex(long hash, long tag) {
        int bucket = findBucket(hash);
        if (bucket < 0) {
            return -1;
        }
        int firstIndex = bucket * HOLDERS_PER_BLOCK;
        for (int index = firstIndex; index < firstIndex + HOLDERS_PER_BLOCK; index++) {
            if (storedAtMs[index] != 0 && holders[index] == tag) {
                return index;
            }
        }
        return -1;
    }

    private int findBucket(long hash) {
        int first = firstProbe(hash);
        for (int i = 0; i < MAX_PROBES; i++) {
            int bucket = (first + i) & mask;
            if (hashes[bucket] == hash) {
                return bucket;
            }
        }
        return -1;
    }

    private int selectBucketToReplace(long hash) {
        int first = firstProbe(hash);
        int oldestBucket = first;
        long oldestAtMs = Long.MAX_VALUE;
        for (int i = 0; i < MAX_PROBES; i++) {
            int bucket = (first + i) & mask;
            long newestStoredAtMs = newestStoredAtMs(bucket);
            if (newestStoredAtMs < oldestAtMs) {
                oldestBucket = bucket;
                oldestAtMs = newestStoredAtMs;
            }
        }
        return oldestBucket;
    }

    private long newestStoredAtMs(int bucket) {
        long newest = 0;
        for (int index = bucket * HOLDERS_PER_BLOCK;
                index < (bucket + 1) * HOLDERS_PER_BLOCK;
                index++) {
            newest = Math.max(newest, storedAtMs[index]);
        }
        return newest;
    }

    private void clearHolders(int bucket) {
        for (int index = bucket * HOLDERS_PER_BLOCK;
                index < (bucket + 1) * HOLDERS_PER_BLOCK;
                index++) {
            storedAtMs[index] = 0;
        }
    }

    private int firstProbe(long hash) {
        return (int) ((hash * HASH_MULTIPLIER) >>> 32) & mask;
    }
}
