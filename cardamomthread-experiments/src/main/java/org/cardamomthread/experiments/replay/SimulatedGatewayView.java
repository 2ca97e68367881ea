package org.cardamomthread.experiments.replay;

import java.util.EnumMap;
import java.util.Map;
import org.cardamomthread.policy.routing.CandidateIndex;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.PrefixIndex;

/**
 * The knowledge of one gateway about the endpoints: their candidates and cached prefixes. Not
 * thread-safe.
 */
final class SimulatedGatewayView {

    private static final int MAX_PREFIX_ENTRIES = 1 << 15;
    private static final long ENTRY_HALF_LIFE_MS = 600_000;
    private static final long MAX_ENTRY_AGE_MS = 1_800_000;

    private final PrefixIndex prefixes =
            new PrefixIndex(MAX_PREFIX_ENTRIES, ENTRY_HALF_LIFE_MS, MAX_ENTRY_AGE_MS);
    private final Map<Call.Pool, CandidateIndex> pools = new EnumMap<>(Call.Pool.class);

    SimulatedGatewayView() {
        for (Call.Pool pool : Call.Pool.values()) {
            pools.put(pool, new CandidateIndex(prefixes));
        }
    }

    PrefixIndex prefixes() {
        return prefixes;
    }

    CandidateIndex pool(Call.Pool pool) {
        return pools.get(pool);
    }

    void update(Call.Pool pool, EndpointCandidate candidate) {
        pools.get(pool).put(candidate);
    }
}
