package org.cardamomthread.experiments.decision;

import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.profile.TrafficProfile;
import org.cardamomthread.policy.routing.CandidateIndex;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointLoadReport;
import org.cardamomthread.policy.routing.EndpointPrice;
import org.cardamomthread.policy.routing.PrefixIndex;
import org.cardamomthread.policy.routing.PromptPrefix;
import org.cardamomthread.policy.routing.SelectionRequest;

/** Builds endpoints and requests for the benchmarks, deterministically from fixed seeds. */
final class DecisionFixtures {

    static final int DATA_CENTRES = 21;
    static final int PROMPT_BLOCKS = 64;
    static final int TOKENS_PER_BLOCK = 64;

    private static final VersionId VERSION = new VersionId("v1");
    private static final int PRICE_LEVELS = 3;
    private static final long ENTRY_AGE_MS = 600_000;

    private DecisionFixtures() {}

    static PrefixIndex prefixes(int capacityBlocks) {
        return new PrefixIndex(capacityBlocks, ENTRY_AGE_MS, ENTRY_AGE_MS);
    }

    static EndpointCandidate candidate(int number, Random random) {
        PriceClass priceClass = number % 10 < 7 ? PriceClass.RECLAIMABLE : PriceClass.ON_DEMAND;
        double price =
                1 + number % PRICE_LEVELS + (priceClass == PriceClass.ON_DEMAND ? PRICE_LEVELS : 0);
        return new EndpointCandidate(
                new EndpointId("endpoint-" + number),
                VERSION,
                new DataCentreId("dc-" + number % DATA_CENTRES),
                new EndpointPrice(price, priceClass, 0.5),
                new EndpointLoadReport(0, random.nextInt(8), 0, 8, 4_000, 50),
                1 + random.nextInt(4),
                random.nextInt(3),
                random.nextInt(2_000),
                1);
    }

    static void fill(CandidateIndex index, int endpoints) {
        Random random = new Random(endpoints);
        for (int i = 0; i < endpoints; i++) {
            index.put(candidate(i, random));
        }
    }

    static PromptPrefix prompt(int number) {
        long[] blocks = new long[PROMPT_BLOCKS];
        Random random = new Random(number);
        for (int k = 0; k < blocks.length; k++) {
            blocks[k] = random.nextLong();
        }
        return PromptPrefix.ofHashes(blocks, TOKENS_PER_BLOCK);
    }

    static SelectionRequest request(PromptPrefix prefix) {
        return new SelectionRequest(
                TrafficProfile.urgent(1_800),
                VERSION,
                PROMPT_BLOCKS * TOKENS_PER_BLOCK,
                200,
                prefix,
                Set.of());
    }
}
