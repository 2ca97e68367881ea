package org.cardamomthread.policy.routing;

import static org.cardamomthread.policy.routing.RoutingFixtures.candidate;
import static org.cardamomthread.policy.routing.RoutingFixtures.id;
import static org.cardamomthread.policy.routing.RoutingFixtures.prefix;
import static org.cardamomthread.policy.routing.RoutingFixtures.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.cardamomthread.core.id.EndpointId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CandidateIndex}. */
public class CandidateIndexTests {

    private final PrefixIndex prefixes = new PrefixIndex(4_096, 60_000, 600_000);
    private final CandidateIndex index = new CandidateIndex(prefixes);

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {{0}, {10}, {100}, {1_000}, {12_000}};
    }

    @Test(dataProvider = "sizes")
    public void returnsBoundedCandidatesWithoutDuplicates(int size) {
        CandidateIndex indexOfSize = new CandidateIndex(prefixes);
        for (int i = 0; i < size; i++) {
            indexOfSize.put(candidate("e" + i, 1 + i % 5, 0, 0, 1));
        }
        List<EndpointCandidate> candidates =
                indexOfSize.selectCandidates(request(10, PromptPrefix.EMPTY), 0, new Random(3));
        assertTrue(candidates.size() <= CandidateIndex.MAX_CANDIDATES);
        assertTrue(
                candidates.size() >= Math.min(size, 10),
                "number of candidates: " + candidates.size());
        assertEquals(new HashSet<>(candidates).size(), candidates.size());
    }

    @Test
    public void includesEndpointWithCachedPrompt() {
        for (int i = 0; i < 2_000; i++) {
            index.put(candidate("e" + i, 1, 0, 0, 1));
        }
        prefixes.recordSentPrompt(id("e1234"), prefix(9, 8), 0);
        List<EndpointCandidate> candidates =
                index.selectCandidates(request(200, prefix(9, 8)), 0, new Random(3));
        assertTrue(candidates.stream().anyMatch(candidate -> candidate.id().equals(id("e1234"))));
    }

    @Test
    public void behavesLikeReferenceMapAfterRandomChanges() {
        Random random = new Random(5);
        Map<EndpointId, EndpointCandidate> expectedEntries = new HashMap<>();
        for (int step = 0; step < 5_000; step++) {
            EndpointCandidate candidate =
                    candidate(
                            "e" + random.nextInt(40),
                            1 + random.nextInt(3),
                            0,
                            0,
                            random.nextInt(3));
            if (random.nextInt(4) == 0) {
                index.remove(candidate.id());
                expectedEntries.remove(candidate.id());
            } else {
                index.put(candidate);
                expectedEntries.put(candidate.id(), candidate);
            }
            assertEquals(index.size(), expectedEntries.size());
            assertEquals(availableCandidates(), expectedCandidates(expectedEntries));
        }
    }

    private Set<EndpointCandidate> availableCandidates() {
        return index.selectCandidates(request(10, PromptPrefix.EMPTY), 0, new Random(1)).stream()
                .filter(candidate -> candidate.credits() > 0)
                .collect(Collectors.toSet());
    }

    private static Set<EndpointCandidate> expectedCandidates(
            Map<EndpointId, EndpointCandidate> expectedEntries) {
        return expectedEntries.values().stream()
                .filter(candidate -> candidate.credits() > 0)
                .collect(Collectors.toSet());
    }
}
