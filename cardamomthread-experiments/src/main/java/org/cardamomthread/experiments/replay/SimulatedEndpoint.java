package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.routing.EndpointLoadReport;

/**
 * Simulates an endpoint with continuous batching, a bounded prefix cache and a cold start.
 *
 * <p>Prompts are processed sequentially. The tokens of all running requests are generated together,
 * more slowly the more requests run. Its host costs money only while requests run. Not thread-safe.
 */
final class SimulatedEndpoint {

    private static final double MS_PER_SECOND = 1_000;
    private static final double MS_PER_HOUR = 3_600_000;

    /** Relative increase of the token interval per further request in the batch. */
    private static final double SLOWDOWN_PER_BATCHED_REQUEST = 0.05;

    private static final double COLD_SLOWDOWN = 4;
    private static final long COLD_MS = 15_000;
    private static final long WARM_UP_MS = 30_000;

    private final EndpointId id;
    private final EndpointSpec spec;
    private final SimulatedPrices prices;
    private final SimulatedPrefixCache cache;
    private final Map<RequestId, Execution> running = new LinkedHashMap<>();
    private boolean alive = true;
    private boolean leaving;
    private boolean newlyStarted;
    private long coldSinceMs;
    private double prefillAvailableAtMs;
    private double accruedCost;
    private long accruedUntilMs;
    private int largestExcess;

    SimulatedEndpoint(
            EndpointId id,
            EndpointSpec spec,
            SimulatedPrices prices,
            boolean newlyStarted,
            long nowMs) {
        this.id = id;
        this.spec = spec;
        this.prices = prices;
        this.cache = new SimulatedPrefixCache(spec.maxCacheBlocks());
        this.newlyStarted = newlyStarted;
        this.coldSinceMs = newlyStarted ? nowMs : nowMs - WARM_UP_MS;
        this.accruedUntilMs = nowMs;
    }

    EndpointId id() {
        return id;
    }

    EndpointSpec spec() {
        return spec;
    }

    DataCentreId dataCentre() {
        return SimulatedPrices.dataCentre(spec.dataCentre());
    }

    SimulatedPrefixCache cache() {
        return cache;
    }

    boolean isUsable() {
        return alive && !leaving;
    }

    boolean isAlive() {
        return alive;
    }

    boolean isLeaving() {
        return leaving;
    }

    void markLeaving() {
        leaving = true;
    }

    int inFlight() {
        return running.size();
    }

    List<Execution> running() {
        return new ArrayList<>(running.values());
    }

    double accruedCost() {
        return accruedCost;
    }

    int largestExcess() {
        return largestExcess;
    }

    /** Returns the number of concurrent requests that it can serve at a time. */
    int concurrencyLimit(long nowMs) {
        long sinceMs = nowMs - coldSinceMs;
        if (sinceMs < COLD_MS) {
            return spec.coldConcurrency();
        }
        if (sinceMs >= WARM_UP_MS) {
            return spec.warmConcurrency();
        }
        double warmedShare = (double) (sinceMs - COLD_MS) / (WARM_UP_MS - COLD_MS);
        return spec.coldConcurrency()
                + (int) (warmedShare * (spec.warmConcurrency() - spec.coldConcurrency()));
    }

    /** Makes the endpoint cold without announcing it. */
    void makeCold(long nowMs) {
        coldSinceMs = nowMs;
        newlyStarted = false;
        cache.clear();
    }

    /** Starts a call, or returns null if the call overloads a newly started endpoint. */
    Execution startExecution(
            CallState state,
            boolean kvTransferred,
            Set<Long> computedBlocks,
            ReplayResult result,
            long nowMs) {
        accrueCost(nowMs);
        int excess = newlyStarted ? running.size() + 1 - concurrencyLimit(nowMs) : 0;
        largestExcess = Math.max(largestExcess, excess);
        if (excess > 0) {
            return null;
        }
        Call call = state.call();
        int cachedBlocks = cache.leadingCachedBlocks(call.prefix());
        int cachedTokens = cachedBlocks * CallFactory.TOKENS_PER_BLOCK;
        for (int k = cachedBlocks; k < call.prefix().blockCount(); k++) {
            if (!computedBlocks.add(call.prefix().blockHash(k))) {
                result.addRecomputedTokens(CallFactory.TOKENS_PER_BLOCK);
            }
        }
        double slowdown = nowMs - coldSinceMs < COLD_MS ? COLD_SLOWDOWN : 1;
        int recomputed = kvTransferred ? 0 : state.deliveredTokens();
        int processedTokens = call.promptTokens() - cachedTokens + recomputed;
        result.addRecomputedTokens(recomputed);
        double prefillMs =
                slowdown * MS_PER_SECOND * processedTokens / spec.prefillTokensPerSecond();
        prefillAvailableAtMs = Math.max(prefillAvailableAtMs, nowMs) + prefillMs;
        double gapMs =
                slowdown
                        * MS_PER_SECOND
                        / spec.decodeTokensPerSecond()
                        * (1 + SLOWDOWN_PER_BATCHED_REQUEST * running.size());
        Execution execution =
                new Execution(
                        state,
                        nowMs,
                        prefillAvailableAtMs + gapMs,
                        gapMs,
                        state.remainingTokens(),
                        running.size() + 1);
        running.put(call.id(), execution);
        return execution;
    }

    void endExecution(Execution execution, long nowMs) {
        accrueCost(nowMs);
        execution.end();
        running.remove(execution.state().call().id());
    }

    void terminate(long nowMs) {
        accrueCost(nowMs);
        alive = false;
        running.clear();
    }

    /** Adds the cost since the last change to the accrued cost. */
    void accrueCost(long nowMs) {
        if (!running.isEmpty()) {
            accruedCost +=
                    prices.pricePerHour(spec, accruedUntilMs)
                            * (nowMs - accruedUntilMs)
                            / MS_PER_HOUR;
        }
        accruedUntilMs = nowMs;
    }

    EndpointLoadReport report(long nowMs) {
        int announcedLimit = newlyStarted ? concurrencyLimit(nowMs) : spec.warmConcurrency();
        int executing = 0;
        for (Execution execution : running.values()) {
            executing += execution.firstTokenAtMs() <= nowMs ? 1 : 0;
        }
        return new EndpointLoadReport(
                nowMs,
                executing,
                running.size() - executing,
                announcedLimit,
                spec.prefillTokensPerSecond(),
                spec.decodeTokensPerSecond());
    }
}
