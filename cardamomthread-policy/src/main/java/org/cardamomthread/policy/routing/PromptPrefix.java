package org.cardamomthread.policy.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Names the leading blocks of a prompt by chained hashes: hash k covers the first k blocks.
 *
 * <p>Immutable and safe for use by several threads. Only whole blocks are named. The hash of block
 * k is XXH3-64 over the hash of block k - 1 (zero for the first) and the text of block k.
 */
public final class PromptPrefix {

    /** A prompt without any whole block. */
    public static final PromptPrefix EMPTY = new PromptPrefix(new long[0], 1);

    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long[] blocks;
    private final int tokensPerBlock;

    private PromptPrefix(long[] blocks, int tokensPerBlock) {
        this.blocks = blocks;
        this.tokensPerBlock = tokensPerBlock;
    }

    /**
     * Wraps hashes that were computed elsewhere.
     *
     * @param blocks chained hashes, copied
     * @param tokensPerBlock tokens that a block stands for, at least one
     * @return the prefix
     */
    public static PromptPrefix ofHashes(long[] blocks, int tokensPerBlock) {
        if (tokensPerBlock < 1) {
            throw new IllegalArgumentException(
                    "tokensPerBlock " + tokensPerBlock + " must be 1 or more");
        }
        return new PromptPrefix(blocks.clone(), tokensPerBlock);
    }

    /**
     * Computes the hashes of a prompt's text.
     *
     * @param text the prompt
     * @param charactersPerBlock length of a block, in characters, at least one
     * @param tokensPerBlock tokens that a block stands for, at least one
     * @return the prefix
     */
    public static PromptPrefix ofText(String text, int charactersPerBlock, int tokensPerBlock) {
        if (charactersPerBlock < 1) {
            throw new IllegalArgumentException(
                    "charactersPerBlock " + charactersPerBlock + " must be 1 or more");
        }
        long[] hashes = new long[text.length() / charactersPerBlock];
        long previous = 0;
        for (int k = 0; k < hashes.length; k++) {
            int from = k * charactersPerBlock;
            String block = text.substring(from, from + charactersPerBlock);
            previous = HASHER.hashStream().putLong(previous).putString(block).getAsLong();
            hashes[k] = previous;
        }
        return ofHashes(hashes, tokensPerBlock);
    }

    /**
     * Returns the number of whole blocks.
     *
     * @return zero or more
     */
    public int length() {
        return blocks.length;
    }

    /**
     * Returns the hash that covers the blocks up to an index.
     *
     * @param index index of the last block covered, from zero
     * @return the hash
     */
    public long block(int index) {
        return blocks[index];
    }

    /**
     * Returns the tokens that a block stands for.
     *
     * @return one or more
     */
    public int tokensPerBlock() {
        return tokensPerBlock;
    }
}
