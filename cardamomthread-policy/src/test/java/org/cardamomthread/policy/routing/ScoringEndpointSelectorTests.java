package org.cardamomthread.policy.routing;

import static org.cardamomthread.policy.routing.RoutingFixtures.V2;
import static org.cardamomthread.policy.routing.RoutingFixtures.candidate;
import static org.cardamomthread.policy.routing.RoutingFixtures.id;
import static org.cardamomthread.policy.routing.RoutingFixtures.prefix;
import static org.cardamomthread.policy.routing.RoutingFixtures.request;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ScoringEndpointSelector}. */
public class ScoringEndpointSelectorTests {

    private final PrefixIndex prefixes = new PrefixIndex(1_024, 60_000, 600_000);
    private final EndpointSelector selector = new ScoringEndpointSelector(prefixes);

    @DataProvider
    public Object[][] preferences() {
        return new Object[][] {
            {"lower price", candidate("a", 1, 0, 0, 1), candidate("b", 3, 0, 0, 1)},
            {
                "within the first-token target",
                candidate("a", 3, 0, 0, 1),
                candidate("b", 1, 8, 9, 1)
            },
            {"credit available", candidate("a", 9, 8, 8, 1), candidate("b", 1, 0, 0, 0)},
            {
                "lower reclaim risk",
                candidate("a", RoutingFixtures.V1, 1, 0, 0, 0, 1),
                candidate("b", RoutingFixtures.V1, 1, 2_000, 0, 0, 1)
            },
            {"requested version", candidate("a", 9, 8, 8, 1), candidate("b", V2, 1, 0, 0, 0, 1)},
        };
    }

    @Test(dataProvider = "preferences")
    public void selectsPreferredEndpoint(
            String reason, EndpointCandidate expected, EndpointCandidate other) {
        for (int seed = 0; seed < 20; seed++) {
            Selection selection =
                    selector.select(
                            request(2_000, PromptPrefix.EMPTY),
                            List.of(other, expected),
                            0,
                            new Random(seed));
            assertEquals(selection.selected().orElseThrow().id(), expected.id(), reason);
        }
    }

    @Test
    public void prefersEndpointWithCachedPrompt() {
        prefixes.recordSentPrompt(id("b"), prefix(1, 100), 0);
        Selection selection =
                selector.select(
                        request(1_700, prefix(1, 100)),
                        List.of(candidate("a", 1, 0, 0, 1), candidate("b", 1, 0, 0, 1)),
                        10,
                        new Random(1));
        assertEquals(selection.selected().orElseThrow().id(), id("b"));
        assertTrue(selection.score().orElseThrow().cachedTokens() > 1_500);
    }

    @Test
    public void countsRequestsSentSinceOutdatedLoadReport() {
        EndpointCandidate loadedCandidate = candidate("a", 1, 0, 0, 9);
        for (int i = 0; i < 8; i++) {
            loadedCandidate = loadedCandidate.withSentRequest(4_000);
        }
        Selection selection =
                selector.select(
                        request(100, PromptPrefix.EMPTY),
                        List.of(loadedCandidate, candidate("b", 2, 0, 0, 1)),
                        100,
                        new Random(1));
        assertEquals(selection.selected().orElseThrow().id(), id("b"));
    }

    @Test
    public void distributesSelectionsAmongTiedCandidates() {
        List<EndpointCandidate> tied =
                List.of(candidate("a", 1, 0, 0, 1), candidate("b", 1, 0, 0, 1));
        Set<EndpointId> selected = new HashSet<>();
        Random random = new Random(4);
        for (int i = 0; i < 50; i++) {
            selected.add(
                    selector.select(request(100, PromptPrefix.EMPTY), tied, 0, random)
                            .selected()
                            .orElseThrow()
                            .id());
        }
        assertEquals(selected.size(), 2);
    }

    @DataProvider
    public Object[][] refusals() {
        return new Object[][] {
            {List.of(), SelectionRefusal.Reason.NO_ENDPOINT},
            {
                List.of(candidate("b", V2, 1, 0, 0, 0, 1)),
                SelectionRefusal.Reason.NO_ENDPOINT_OF_VERSION
            },
            {List.of(candidate("a", 1, 0, 0, 0)), SelectionRefusal.Reason.NO_CREDIT},
            {List.of(candidate("tried", 1, 0, 0, 1)), SelectionRefusal.Reason.ALL_EXCLUDED},
        };
    }

    @Test(dataProvider = "refusals")
    public void statesReasonForRefusal(
            List<EndpointCandidate> candidates, SelectionRefusal.Reason reason) {
        SelectionRequest template = request(10, PromptPrefix.EMPTY);
        SelectionRequest request =
                new SelectionRequest(
                        template.profile(),
                        template.version(),
                        10,
                        10,
                        template.prefix(),
                        Set.of(id("tried")));
        Selection selection = selector.select(request, candidates, 0, new Random(1));
        assertEquals(selection.refusal().orElseThrow().reason(), reason);
    }

    @Test
    public void returnsScoresInAscendingOrderOfTotal() {
        List<CandidateScore> scores =
                selector.explain(
                        request(100, PromptPrefix.EMPTY),
                        List.of(candidate("b", 3, 0, 0, 1), candidate("a", 1, 0, 0, 1)),
                        0);
        assertEquals(
                scores.stream().map(CandidateScore::endpoint).toList(), List.of(id("a"), id("b")));
        assertTrue(scores.get(0).total() < scores.get(1).total());
    }
}
