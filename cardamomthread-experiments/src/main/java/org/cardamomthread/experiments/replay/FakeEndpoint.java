package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.routing.EndpointLoad;

/**
 * Stands in for an endpoint: continuous batching, a bounded prefix cache and a cold start.
 *
 * <p>Prompts are processed one after the other; tokens of all running requests are generated
 * together, the slower the more there are. Its host is paid for while it executes anything. Not
 * safe for use by several threads.
 */
final class FakeEndpoint {

    private static final double MS_PER_SECOND = 1_000;
    private static final double MS_PER_HOUR = 3_600_000;
    private static final double BATCH_SLOWDOWN = 0.05; // longer gap for each further request
    private static final double COLD_SLOWDOWN = 4;
    private static final long COLD_MS = 15_000;
    private static final long WARM_UP_MS = 30_000;

    private final EndpointId id;
    private final EndpointSpec spec;
    private final FakePrices prices;
    private final FakePrefixCache cache;
    private final Map<RequestId, Execution> running = new LinkedHashMap<>();
    private boolean alive = true;
    private boolean leaving;
    private boolean fresh;
    private long coldSinceMs;
    private double prefillFreeAtMs;
    private double price;
    private long paidUntilMs;
    private int largestExcess;

    FakeEndpoint(EndpointId id, EndpointSpec spec, FakePrices prices, boolean fresh, long nowMs) {
        this.id = id;
        this.spec = spec;
        this.prices = prices;
        this.cache = new FakePrefixCache(spec.cacheBlocks());
        this.fresh = fresh;
        this.coldSinceMs = fresh ? nowMs : nowMs - WARM_UP_MS;
        this.paidUntilMs = nowMs;
    }

    EndpointId id() {
        return id;
    }

    EndpointSpec spec() {
        return spec;
    }

    DataCentreId dataCentre() {
        return FakePrices.dataCentre(spec.dataCentre());
    }

    FakePrefixCache cache() {
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

    void leave() {
        leaving = true;
    }

    int inFlight() {
        return running.size();
    }

    List<Execution> running() {
        return new ArrayList<>(running.values());
    }

    double price() {
        return price;
    }

    int largestExcess() {
        return largestExcess;
    }

    /** Returns the requests that it bears at a time. */
    int bears(long nowMs) {
        long sinceMs = nowMs - coldSinceMs;
        if (sinceMs < COLD_MS) {
            return spec.coldRequests();
        }
        if (sinceMs >= WARM_UP_MS) {
            return spec.warmRequests();
        }
        double share = (double) (sinceMs - COLD_MS) / (WARM_UP_MS - COLD_MS);
        return spec.coldRequests() + (int) (share * (spec.warmRequests() - spec.coldRequests()));
    }

    /** Turns cold without saying so. */
    void turnCold(long nowMs) {
        coldSinceMs = nowMs;
        fresh = false;
        cache.clear();
    }

    /** Begins a call, or returns null if a fresh endpoint falls over under it. */
    Execution begin(
            CallState state, boolean kvMoved, Set<Long> computed, ReplayResult result, long nowMs) {
        settle(nowMs);
        int excess = fresh ? running.size() + 1 - bears(nowMs) : 0;
        largestExcess = Math.max(largestExcess, excess);
        if (excess > 0) {
            return null;
        }
        Call call = state.call();
        int hits = cache.hits(call.prefix());
        int cachedTokens = hits * CallFactory.TOKENS_PER_BLOCK;
        for (int k = hits; k < call.prefix().length(); k++) {
            if (!computed.add(call.prefix().block(k))) {
                result.addRecomputedTokens(CallFactory.TOKENS_PER_BLOCK);
            }
        }
        double slowdown = nowMs - coldSinceMs < COLD_MS ? COLD_SLOWDOWN : 1;
        int redone = kvMoved ? 0 : state.deliveredTokens();
        int processed = call.promptTokens() - cachedTokens + redone;
        result.addRecomputedTokens(redone);
        double prefillMs = slowdown * MS_PER_SECOND * processed / spec.prefillTokensPerSecond();
        prefillFreeAtMs = Math.max(prefillFreeAtMs, nowMs) + prefillMs;
        double gapMs =
                slowdown
                        * MS_PER_SECOND
                        / spec.decodeTokensPerSecond()
                        * (1 + BATCH_SLOWDOWN * running.size());
        Execution execution =
                new Execution(
                        state,
                        nowMs,
                        prefillFreeAtMs + gapMs,
                        gapMs,
                        state.remainingTokens(),
                        running.size() + 1);
        running.put(call.id(), execution);
        return execution;
    }

    void end(Execution execution, long nowMs) {
        settle(nowMs);
        execution.end();
        running.remove(execution.state().call().id());
    }

    void die(long nowMs) {
        settle(nowMs);
        alive = false;
        running.clear();
    }

    /** Adds the price since the last change. */
    void settle(long nowMs) {
        if (!running.isEmpty()) {
            price += prices.pricePerHour(spec, paidUntilMs) * (nowMs - paidUntilMs) / MS_PER_HOUR;
        }
        paidUntilMs = nowMs;
    }

    EndpointLoad report(long nowMs) {
        int bearable = fresh ? bears(nowMs) : spec.warmRequests();
        int executing = 0;
        for (Execution execution : running.values()) {
            executing += execution.firstTokenAtMs() <= nowMs ? 1 : 0;
        }
        return new EndpointLoad(
                nowMs,
                executing,
                running.size() - executing,
                bearable,
                spec.prefillTokensPerSecond(),
                spec.decodeTokensPerSecond());
    }
}
