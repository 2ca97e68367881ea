package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.admission.EndpointClassLimits;
import org.cardamomthread.policy.admission.SlowStart;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.routing.CacheEvent;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointLoadReport;
import org.cardamomthread.policy.routing.EndpointPrice;

/**
 * Holds the endpoints of a replay, the state kept by their homes and the knowledge of the gateways.
 *
 * <p>Credits are always exact. Load reports lag, and cache events are late and may be lost. Not
 * thread-safe.
 */
final class ReplayFleet {

    static final int GATEWAY_COUNT = 6;

    private static final long REPORT_INTERVAL_MS = 500;
    private static final int MIN_REPORT_LAG_MS = 200;
    private static final int REPORT_LAG_RANGE_MS = 500;
    private static final int CACHE_EVENT_DELAY_MS = 1_000;
    private static final int CACHE_EVENT_DELAY_RANGE_MS = 2_000;
    private static final double CACHE_EVENT_LOSS_RATE = 0.05;
    private static final long RESYNC_DELAY_MS = 5_000;
    private static final double RECLAIMS_PER_HOUR = 2;
    private static final long WARM_UP_MS = 30_000;

    private final EventLoop loop;
    private final Random random;
    private final SimulatedPrices prices;
    private final boolean usesSlowStart;
    private final boolean usesPrefixes;
    private final double clientDelayMs;
    private final long endMs;
    private final Map<EndpointId, HomeRecord> homeRecords = new LinkedHashMap<>();
    private final List<SimulatedGatewayView> gateways = new ArrayList<>();
    private final Set<Integer> drainedDataCentres = new HashSet<>();
    private int startedEndpoints;

    ReplayFleet(
            EventLoop loop,
            Random random,
            SimulatedPrices prices,
            Strategy strategy,
            Workload workload) {
        this.loop = loop;
        this.random = random;
        this.prices = prices;
        this.usesSlowStart = strategy.usesSlowStart();
        this.usesPrefixes = strategy.usesPrefixes();
        this.clientDelayMs = workload.clientDelayMs();
        this.endMs = workload.durationMs() + 60_000;
        for (int i = 0; i < GATEWAY_COUNT; i++) {
            gateways.add(new SimulatedGatewayView());
        }
        workload.fleet().forEach(spec -> start(spec, false));
    }

    SimulatedPrices prices() {
        return prices;
    }

    SimulatedGatewayView gateway(int number) {
        return gateways.get(number);
    }

    SimulatedEndpoint endpoint(EndpointId id) {
        return homeRecords.get(id).endpoint;
    }

    List<SimulatedEndpoint> endpoints() {
        return homeRecords.values().stream().map(home -> home.endpoint).toList();
    }

    SlowStart slowStart(SimulatedEndpoint endpoint) {
        return homeRecords.get(endpoint.id()).slowStart;
    }

    Set<Integer> drainedDataCentres() {
        return drainedDataCentres;
    }

    boolean isUsable(SimulatedEndpoint endpoint) {
        return endpoint.isUsable() && !drainedDataCentres.contains(endpoint.spec().dataCentre());
    }

    SimulatedEndpoint start(EndpointSpec spec, boolean newlyStarted) {
        EndpointId id = new EndpointId("endpoint-" + startedEndpoints++);
        SimulatedEndpoint endpoint =
                new SimulatedEndpoint(id, spec, prices, newlyStarted, loop.nowMs());
        EndpointClassLimits limits =
                new EndpointClassLimits(spec.coldConcurrency(), spec.warmConcurrency(), WARM_UP_MS);
        long sinceMs = newlyStarted ? loop.nowMs() : loop.nowMs() - WARM_UP_MS;
        HomeRecord home = new HomeRecord(endpoint, new SlowStart(limits, sinceMs));
        homeRecords.put(id, home);
        home.slowStart.onAnnouncement(1, endpoint.concurrencyLimit(loop.nowMs()), false, sinceMs);
        for (int i = 0; i < 10 * spec.warmConcurrency() && !newlyStarted; i++) {
            home.slowStart.onFirstToken(1, 1, spec.warmConcurrency(), sinceMs, loop.nowMs());
        }
        publishCredits(endpoint);
        loop.scheduleEvery(
                REPORT_INTERVAL_MS,
                endMs,
                () -> {
                    if (endpoint.isAlive()) {
                        sendReport(home);
                    }
                });
        return endpoint;
    }

    /** Returns the number of requests that an endpoint may still accept. */
    int credits(SimulatedEndpoint endpoint) {
        if (!isUsable(endpoint)) {
            return 0;
        }
        int limit = usesSlowStart ? slowStart(endpoint).limit() : endpoint.spec().warmConcurrency();
        return Math.max(0, limit - endpoint.inFlight());
    }

    int credits(Call.Pool pool) {
        int sum = 0;
        for (HomeRecord home : homeRecords.values()) {
            if (home.endpoint.spec().pool() == pool) {
                sum += credits(home.endpoint);
            }
        }
        return sum;
    }

    int totalLimit(Call.Pool pool) {
        int sum = 0;
        for (HomeRecord home : homeRecords.values()) {
            if (home.endpoint.spec().pool() == pool && isUsable(home.endpoint)) {
                sum += home.slowStart.limit();
            }
        }
        return sum;
    }

    /**
     * Updates the credits of an endpoint at all gateways, or removes the endpoint if it is gone or
     * leaving.
     */
    void publishCredits(SimulatedEndpoint endpoint) {
        Call.Pool pool = endpoint.spec().pool();
        int credits = credits(endpoint);
        for (SimulatedGatewayView gateway : gateways) {
            if (!endpoint.isAlive() || endpoint.isLeaving()) {
                gateway.pool(pool).remove(endpoint.id());
                gateway.prefixes().remove(endpoint.id());
                continue;
            }
            EndpointCandidate known =
                    gateway.pool(pool)
                            .get(endpoint.id())
                            .orElseGet(
                                    () -> candidate(endpoint, endpoint.report(loop.nowMs()), 0, 0));
            gateway.update(pool, known.withCredits(credits));
        }
    }

    void publishAllCredits() {
        endpoints().forEach(this::publishCredits);
    }

    /** Records that a gateway sent a call to an endpoint. */
    void recordSend(int gatewayNumber, SimulatedEndpoint endpoint, Call call, int uncachedTokens) {
        SimulatedGatewayView gateway = gateways.get(gatewayNumber);
        Call.Pool pool = endpoint.spec().pool();
        gateway.pool(pool)
                .get(endpoint.id())
                .ifPresent(known -> gateway.update(pool, known.withSentRequest(uncachedTokens)));
        if (usesPrefixes) {
            gateway.prefixes().recordSentPrompt(endpoint.id(), call.prefix(), loop.nowMs());
        }
        publishCredits(endpoint);
    }

    /** Stores a processed prompt in the cache and publishes the resulting cache events. */
    void publishCacheEvents(SimulatedEndpoint endpoint, Call call) {
        if (call.prefix().blockCount() == 0) {
            return;
        }
        long[] stored = new long[call.prefix().blockCount()];
        for (int k = 0; k < stored.length; k++) {
            stored[k] = call.prefix().blockHash(k);
        }
        List<Long> evicted = endpoint.cache().store(call.prefix());
        publishCacheEvent(endpoint, CacheEvent.Type.STORED, stored);
        if (!evicted.isEmpty()) {
            long[] blocks = evicted.stream().mapToLong(Long::longValue).toArray();
            publishCacheEvent(endpoint, CacheEvent.Type.EVICTED, blocks);
        }
    }

    private void publishCacheEvent(
            SimulatedEndpoint endpoint, CacheEvent.Type type, long[] blocks) {
        HomeRecord home = homeRecords.get(endpoint.id());
        CacheEvent event = new CacheEvent(home.cacheSequence++, type, blocks);
        if (random.nextDouble() < CACHE_EVENT_LOSS_RATE || !usesPrefixes) {
            return;
        }
        long dueMs =
                loop.nowMs() + CACHE_EVENT_DELAY_MS + random.nextInt(CACHE_EVENT_DELAY_RANGE_MS);
        home.cacheEventsDueMs = Math.max(dueMs, home.cacheEventsDueMs);
        loop.scheduleAt(home.cacheEventsDueMs, () -> deliverCacheEvent(home, event));
    }

    private void deliverCacheEvent(HomeRecord home, CacheEvent event) {
        SimulatedEndpoint endpoint = home.endpoint;
        if (!endpoint.isUsable()) {
            return;
        }
        boolean needsResync = false;
        for (SimulatedGatewayView gateway : gateways) {
            needsResync |= gateway.prefixes().apply(endpoint.id(), event, loop.nowMs());
        }
        if (needsResync && !home.resyncing) {
            home.resyncing = true;
            loop.scheduleAfter(RESYNC_DELAY_MS, () -> resync(home));
        }
    }

    private void resync(HomeRecord home) {
        home.resyncing = false;
        if (!home.endpoint.isUsable()) {
            return;
        }
        long[] contents = home.endpoint.cache().contents();
        for (SimulatedGatewayView gateway : gateways) {
            gateway.prefixes()
                    .resync(home.endpoint.id(), home.cacheSequence - 1, contents, loop.nowMs());
        }
    }

    private void sendReport(HomeRecord home) {
        SimulatedEndpoint endpoint = home.endpoint;
        EndpointLoadReport report = endpoint.report(loop.nowMs());
        Call.Pool pool = endpoint.spec().pool();
        List<EndpointCandidate> atReport = new ArrayList<>();
        for (SimulatedGatewayView gateway : gateways) {
            atReport.add(gateway.pool(pool).get(endpoint.id()).orElse(null));
        }
        loop.scheduleAfter(
                MIN_REPORT_LAG_MS + random.nextInt(REPORT_LAG_RANGE_MS),
                () -> {
                    home.slowStart.onAnnouncement(
                            1, report.concurrencyLimit(), false, loop.nowMs());
                    for (int i = 0; i < GATEWAY_COUNT; i++) {
                        receiveReport(endpoint, report, gateways.get(i), atReport.get(i));
                    }
                    publishCredits(endpoint);
                });
    }

    private void receiveReport(
            SimulatedEndpoint endpoint,
            EndpointLoadReport report,
            SimulatedGatewayView gateway,
            EndpointCandidate atReport) {
        Call.Pool pool = endpoint.spec().pool();
        EndpointCandidate known = gateway.pool(pool).get(endpoint.id()).orElse(null);
        if (known == null
                || atReport == null
                || report.reportedAtMs() <= known.load().reportedAtMs()) {
            return;
        }
        boolean isSameReport = atReport.load().reportedAtMs() == known.load().reportedAtMs();
        int sent = known.sentSinceReport() - (isSameReport ? atReport.sentSinceReport() : 0);
        long tokens =
                known.promptTokensSentSinceReport()
                        - (isSameReport ? atReport.promptTokensSentSinceReport() : 0);
        gateway.update(pool, candidate(endpoint, report, Math.max(0, sent), Math.max(0, tokens)));
    }

    private EndpointCandidate candidate(
            SimulatedEndpoint endpoint, EndpointLoadReport load, int sent, long tokens) {
        EndpointSpec spec = endpoint.spec();
        double risk = spec.priceClass() == PriceClass.RECLAIMABLE ? RECLAIMS_PER_HOUR : 0;
        EndpointPrice price =
                new EndpointPrice(prices.pricePerHour(spec, loop.nowMs()), spec.priceClass(), risk);
        return new EndpointCandidate(
                endpoint.id(),
                Strategies.VERSION,
                endpoint.dataCentre(),
                price,
                load,
                credits(endpoint),
                sent,
                tokens,
                clientDelayMs);
    }

    /** The state that the home of an endpoint keeps. */
    private static final class HomeRecord {

        private final SimulatedEndpoint endpoint;
        private final SlowStart slowStart;
        private long cacheSequence;
        private long cacheEventsDueMs;
        private boolean resyncing;

        HomeRecord(SimulatedEndpoint endpoint, SlowStart slowStart) {
            this.endpoint = endpoint;
            this.slowStart = slowStart;
        }
    }
}
