package org.cardamomthread.core.hash;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;

/**
 * Chooses one of several candidates for a key by the highest random weight, so that all nodes with
 * the same candidates agree and a lost candidate moves only its own keys.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class RendezvousHash {

    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private RendezvousHash() {}

    /**
     * Chooses the candidate with the highest weight for a key.
     *
     * @param key the key
     * @param candidates the candidates, in any order
     * @param name gives the stable name of a candidate; names must differ
     * @param <T> the type of candidate
     * @return the chosen candidate, or empty if there is none
     */
    public static <T> Optional<T> choose(
            String key, Collection<T> candidates, Function<T, String> name) {
        T best = null;
        long bestWeight = 0;
        String bestName = null;
        for (T candidate : candidates) {
            String candidateName = name.apply(candidate);
            long weight = weigh(key, candidateName);
            if (best == null || isHigher(weight, candidateName, bestWeight, bestName)) {
                best = candidate;
                bestWeight = weight;
                bestName = candidateName;
            }
        }
        return Optional.ofNullable(best);
    }

    private static long weigh(String key, String candidateName) {
        return HASHER.hashStream().putString(key).putString(candidateName).getAsLong();
    }

    private static boolean isHigher(long weight, String name, long otherWeight, String otherName) {
        int order = Long.compareUnsigned(weight, otherWeight);
        if (order != 0) {
            return order > 0;
        }
        return name.compareTo(otherName) > 0;
    }
}
