package org.cardamomthread.policy.placement;

/**
 * Holds the beginnings of a prompt by which endpoints cache it: the first part, the first two, and
 * so on. Not thread-safe.
 *
 * <p>Invariant: at most {@value #MAX_PARTS} beginnings are held; parts after them count as never
 * cached.
 */
public final class PromptChain {

    /** Parts that are looked at; prompts of the deployments served have fewer. */
    static final int MAX_PARTS = 32;

    private static final long HASH_FACTOR = 0x9E3779B97F4A7C15L;

    private final long[] hashes;
    private final long[] tokens;
    private int count;

    /**
     * Creates a chain without parts.
     *
     * @param partCount the number of parts that will be added
     */
    public PromptChain(int partCount) {
        hashes = new long[Math.min(MAX_PARTS, partCount)];
        tokens = new long[hashes.length];
    }

    /**
     * Adds the next part of the prompt.
     *
     * @param partId the id of the part, the same for parts of equal content
     * @param partTokens the length of the part, in tokens
     */
    public void add(String partId, long partTokens) {
        if (count == hashes.length) {
            return;
        }
        long previous = count == 0 ? 1 : hashes[count - 1];
        long mixed = (previous ^ partId.hashCode()) * HASH_FACTOR;
        hashes[count] = mixed ^ (mixed >>> 32);
        tokens[count] = (count == 0 ? 0 : tokens[count - 1]) + partTokens;
        count++;
    }

    /** Returns the number of beginnings. */
    int size() {
        return count;
    }

    /** Returns the hash of the beginning that ends with a part. */
    long hash(int part) {
        return hashes[part];
    }

    /** Returns the tokens of the beginning that ends with a part. */
    long tokens(int part) {
        return tokens[part];
    }
}
