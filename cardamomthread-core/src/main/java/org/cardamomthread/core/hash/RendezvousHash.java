package org.cardamomthread.core.hash;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;

/**
 * Selects one of several candidates for a key by rendezvous hashing (highest random weight). All
 * nodes with the same candidates select the same one, and the loss of a candidate reassigns only
 * the keys that were assigned to it.
 *
 * <p>Stateless and thread-safe.
 */
public final class RendezvousHash {

    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private RendezvousHash() {}

    /**
     * Selects the candidate with the highest weight for a key.
     *
     * @param candidates candidates in any order
     * @param name function that returns the stable name of a candidate; the names must be distinct
     * @param <T> type of the candidates
     * @return selected candidate, or empty if there are no candidates
     */
    public static <T> Optional<T> choose(
            String key, Collection<T> candidates, Function<T, String> name) {
        T bestCandidate = null;
        long bestWeight = 0;
        String bestName = null;
        for (T candidate : candidates) {
            String candidateName = name.apply(candidate);
            long weight = computeWeight(key, candidateName);
            if (bestCandidate == null || isHigher(weight, candidateName, bestWeight, bestName)) {
                bestCandidate = candidate;
                bestWeight = weight;
                bestName = candidateName;
            }
        }
        return Optional.ofNullable(bestCandidate);
    }

    private static long computeWeight(String key, String candidateName) {
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
