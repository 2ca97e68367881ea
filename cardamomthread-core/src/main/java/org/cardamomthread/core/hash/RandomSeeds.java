package org.cardamomthread.core.hash;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;

/**
 * Derives seeds of random generators. Stateless and thread-safe.
 *
 * <p>A start time alone is no seed: nodes that start together would make the same random choices at
 * the same moments, for example of election timeouts.
 */
public final class RandomSeeds {

    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private RandomSeeds() {}

    /**
     * Derives a seed that differs between owners.
     *
     * @param owner the unique name of the owner of the generator
     * @param seed distinguishes the generators of one owner, for example its start time
     * @return the seed
     */
    public static long derive(String owner, long seed) {
        return HASHER.hashStream().putString(owner).putLong(seed).getAsLong();
    }
}
