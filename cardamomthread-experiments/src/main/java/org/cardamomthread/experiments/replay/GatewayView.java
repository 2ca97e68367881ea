package org.cardamomthread.experiments.replay;

import java.util.EnumMap;
import java.util.Map;
import org.cardamomthread.policy.routing.CandidateIndex;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.PrefixIndex;

/** Holds what one gateway knows of the endpoints. Not safe for use by several threads. */
final class GatewayView {

    private static final int PREFIX_BLOCKS = 1 << 15;
    private static final long HALF_LIFE_MS = 600_000;
    private static final long GREATEST_AGE_MS = 1_800_000;

    private final PrefixIndex prefixes =
            new PrefixIndex(PREFIX_BLOCKS, HALF_LIFE_MS, GREATEST_AGE_MS);
    private final Map<Call.Pool, CandidateIndex> pools = new EnumMap<>(Call.Pool.class);

    GatewayView() {
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
