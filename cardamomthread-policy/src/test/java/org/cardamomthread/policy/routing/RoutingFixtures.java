package org.cardamomthread.policy.routing;

import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.profile.TrafficProfile;

/** Creates candidates, requests and prompt prefixes for routing tests. */
final class RoutingFixtures {

    static final VersionId V1 = new VersionId("v1");
    static final VersionId V2 = new VersionId("v2");

    private RoutingFixtures() {}

    static EndpointId id(String name) {
        return new EndpointId(name);
    }

    static EndpointCandidate candidate(
            String name, double price, int running, int queued, int credits) {
        return candidate(name, V1, price, 0.1, running, queued, credits);
    }

    static EndpointCandidate candidate(
            String name,
            VersionId version,
            double price,
            double reclaimsPerHour,
            int running,
            int queued,
            int credits) {
        return new EndpointCandidate(
                id(name),
                version,
                new DataCentreId("dc-" + (Math.abs(name.hashCode()) % 4)),
                new EndpointPrice(price, PriceClass.RECLAIMABLE, reclaimsPerHour),
                new EndpointLoadReport(0, running, queued, 8, 4_000, 50),
                credits,
                0,
                0,
                1);
    }

    static SelectionRequest request(int promptTokens, PromptPrefix prefix) {
        return new SelectionRequest(
                TrafficProfile.urgent(1_800), V1, promptTokens, 100, prefix, Set.of());
    }

    static PromptPrefix prefix(int seed, int blocks) {
        long[] hashes = new long[blocks];
        for (int i = 0; i < blocks; i++) {
            hashes[i] = seed * 1_000_003L + i + 1;
        }
        return PromptPrefix.ofHashes(hashes, 16);
    }
}
