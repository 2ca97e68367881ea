package org.cardamomthread.experiments.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.experiments.replay.CallFactory.PromptPart;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.profile.TrafficProfile;
import org.testng.annotations.Test;

/** Tests {@link SimulatedEndpoint}. */
public class SimulatedEndpointTests {

    private static final EndpointSpec SPEC =
            new EndpointSpec(Call.Pool.MODEL, 0, PriceClass.RECLAIMABLE, 8, 2, 4_000, 50, 100);

    private final Set<Long> computedBlocks = new HashSet<>();
    private final ReplayResult result = new ReplayResult();

    private static SimulatedEndpoint endpoint(boolean newlyStarted) {
        return new SimulatedEndpoint(
                new EndpointId("e"), SPEC, new SimulatedPrices(1), newlyStarted, 0);
    }

    private static List<Call> calls(int number) {
        CallFactory factory = new CallFactory();
        for (int i = 0; i < number; i++) {
            factory.add(
                    Call.Pool.MODEL,
                    "s" + i,
                    0,
                    Long.MAX_VALUE,
                    TrafficProfile.urgent(1_000),
                    List.of(new PromptPart(1, 2_048), new PromptPart(10 + i, 512)),
                    100,
                    100);
        }
        return factory.calls();
    }

    private Execution begin(SimulatedEndpoint endpoint, Call call, long nowMs) {
        return endpoint.startExecution(
                new CallState(call, 0), false, computedBlocks, result, nowMs);
    }

    @Test
    public void rejectsCallThatOverloadsNewlyStartedEndpoint() {
        SimulatedEndpoint newlyStarted = endpoint(true);
        List<Call> calls = calls(9);
        assertNotNull(begin(newlyStarted, calls.get(0), 0));
        assertNotNull(begin(newlyStarted, calls.get(1), 0));
        assertNull(begin(newlyStarted, calls.get(2), 0));
        assertEquals(newlyStarted.largestExcess(), 1);
        assertEquals(newlyStarted.concurrencyLimit(30_000), 8);
    }

    @Test
    public void cachedPrefixShortensTimeToFirstTokenAndRecomputedTokensAreCounted() {
        SimulatedEndpoint endpoint = endpoint(false);
        List<Call> calls = calls(2);
        Execution first = begin(endpoint, calls.get(0), 0);
        endpoint.cache().store(calls.get(0).prefix());
        Execution second = begin(endpoint, calls.get(1), 10_000);
        assertTrue(second.firstTokenAtMs() - 10_000 < first.firstTokenAtMs() / 2);
        assertEquals(result.measure(ReplayResult.Measure.RECOMPUTED_TOKENS), 0, 0);
        begin(endpoint(false), calls.get(0), 0);
        assertEquals(result.measure(ReplayResult.Measure.RECOMPUTED_TOKENS), 2_560, 0);
    }

    @Test
    public void evictsLeastRecentlyUsedBlocks() {
        SimulatedPrefixCache cache = new SimulatedPrefixCache(60);
        List<Call> calls = calls(4);
        calls.forEach(call -> cache.store(call.prefix()));
        assertEquals(cache.leadingCachedBlocks(calls.get(3).prefix()), 40);
        assertEquals(
                cache.leadingCachedBlocks(calls.get(0).prefix()),
                36); // 4 of 64 distinct blocks evicted
    }
}
