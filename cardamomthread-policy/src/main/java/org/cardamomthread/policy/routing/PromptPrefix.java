package org.cardamomthread.policy.routing;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Identifies the leading blocks of a prompt by chained hashes: the hash of a block also covers all
 * preceding blocks.
 *
 * <p>Immutable and thread-safe. Only whole blocks are included. The hash of block k is XXH3-64 over
 * the hash of block k - 1 (zero for the first block) and the text of block k.
 */
public final class PromptPrefix {

    /** Prefix of a prompt that has no whole block. */
    public static final PromptPrefix EMPTY = new PromptPrefix(new long[0], 1);

    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private final long[] blocks;
    private final int tokensPerBlock;

    private PromptPrefix(long[] blocks, int tokensPerBlock) {
        this.blocks = blocks;
        this.tokensPerBlock = tokensPerBlock;
    }

    /**
     * Creates a prefix from precomputed hashes.
     *
     * @param blocks chained block hashes, which are copied
     * @param tokensPerBlock number of tokens that a block represents, at least one
     */
    public static PromptPrefix ofHashes(long[] blocks, int tokensPerBlock) {
        if (tokensPerBlock < 1) {
            throw new IllegalArgumentException(
                    "tokensPerBlock " + tokensPerBlock + " must be 1 or more");
        }
        return new PromptPrefix(blocks.clone(), tokensPerBlock);
    }

    /**
     * Creates a prefix by hashing the text of a prompt.
     *
     * @param text text of the prompt
     * @param charactersPerBlock length of a block in characters, at least one
     * @param tokensPerBlock number of tokens that a block represents, at least one
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
     * @return number of blocks, at least zero
     */
    public int blockCount() {
        return blocks.length;
    }

    /**
     * Returns the hash of a block, which covers that block and all preceding ones.
     *
     * @param index index of the block, from zero
     * @return chained hash
     */
    public long blockHash(int index) {
        return blocks[index];
    }

    /**
     * Returns the number of tokens that a block represents.
     *
     * @return number of tokens, at least one
     */
    public int tokensPerBlock() {
        return tokensPerBlock;
    }
}
