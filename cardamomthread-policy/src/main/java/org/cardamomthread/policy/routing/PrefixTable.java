package org.cardamomthread.policy.routing;

/**
 * Maps block hashes to the endpoints that hold them, in a table of fixed size.
 *
 * <p>Invariants: a block lies within {@value #PROBES} places of its hash; when these are taken, the
 * one stored longest ago is replaced. A block has at most {@value #HOLDERS} holders; a further one
 * replaces the oldest. Nothing is allocated after creation. Not safe for use by several threads.
 */
final class PrefixTable {

    static final int HOLDERS = 4;
    static final long NOBODY = -1;

    private static final int PROBES = 8;
    private static final int LEAST_CAPACITY = 16;
    private static final long MIX = 0x9E3779B97F4A7C15L;

    private final int mask;
    private final long[] hashes;
    private final long[] holders;
    private final long[] storedAtMs;

    PrefixTable(int capacityBlocks) {
        if (capacityBlocks < LEAST_CAPACITY || capacityBlocks > 1 << 27) {
            throw new IllegalArgumentException(
                    "capacityBlocks " + capacityBlocks + " must be 16 to 2^27");
        }
        int capacity = Integer.highestOneBit(capacityBlocks - 1) << 1;
        mask = capacity - 1;
        hashes = new long[capacity];
        holders = new long[capacity * HOLDERS];
        storedAtMs = new long[capacity * HOLDERS];
    }

    /** Notes that a holder has a block; the time must be above zero. */
    void store(long hash, long tag, long atMs) {
        int place = find(hash);
        if (place < 0) {
            place = placeToReplace(hash);
            hashes[place] = hash;
            clear(place);
        }
        int first = place * HOLDERS;
        int target = first;
        for (int way = first; way < first + HOLDERS; way++) {
            if (storedAtMs[way] != 0 && holders[way] == tag) {
                target = way;
                break;
            }
            if (storedAtMs[way] < storedAtMs[target]) {
                target = way;
            }
        }
        holders[target] = tag;
        storedAtMs[target] = atMs;
    }

    void remove(long hash, long tag) {
        int way = findWay(hash, tag);
        if (way >= 0) {
            storedAtMs[way] = 0;
        }
    }

    boolean contains(long hash) {
        int place = find(hash);
        return place >= 0 && newest(place) > 0;
    }

    /** Tells whether a block has as many holders as are remembered, so that others may exist. */
    boolean isFull(long hash) {
        int place = find(hash);
        if (place < 0) {
            return false;
        }
        for (int way = place * HOLDERS; way < (place + 1) * HOLDERS; way++) {
            if (storedAtMs[way] == 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns when the holder stored the block, or zero if it does not hold it. */
    long storedAtMs(long hash, long tag) {
        int way = findWay(hash, tag);
        return way < 0 ? 0 : storedAtMs[way];
    }

    /** Returns the tag of one of a block's holders, or {@link #NOBODY}. */
    long holder(long hash, int way) {
        int place = find(hash);
        if (place < 0 || storedAtMs[place * HOLDERS + way] == 0) {
            return NOBODY;
        }
        return holders[place * HOLDERS + way];
    }

    private int findWay(long hash, long tag) {
        int place = find(hash);
        if (place < 0) {
            return -1;
        }
        int first = place * HOLDERS;
        for (int way = first; way < first + HOLDERS; way++) {
            if (storedAtMs[way] != 0 && holders[way] == tag) {
                return way;
            }
        }
        return -1;
    }

    private int find(long hash) {
        int start = start(hash);
        for (int i = 0; i < PROBES; i++) {
            int place = (start + i) & mask;
            if (hashes[place] == hash) {
                return place;
            }
        }
        return -1;
    }

    private int placeToReplace(long hash) {
        int start = start(hash);
        int oldest = start;
        long oldestAtMs = Long.MAX_VALUE;
        for (int i = 0; i < PROBES; i++) {
            int place = (start + i) & mask;
            long newestAtMs = newest(place);
            if (newestAtMs < oldestAtMs) {
                oldest = place;
                oldestAtMs = newestAtMs;
            }
        }
        return oldest;
    }

    private long newest(int place) {
        long newest = 0;
        for (int way = place * HOLDERS; way < (place + 1) * HOLDERS; way++) {
            newest = Math.max(newest, storedAtMs[way]);
        }
        return newest;
    }

    private void clear(int place) {
        for (int way = place * HOLDERS; way < (place + 1) * HOLDERS; way++) {
            storedAtMs[way] = 0;
        }
    }

    private int start(long hash) {
        return (int) ((hash * MIX) >>> 32) & mask;
    }
}
