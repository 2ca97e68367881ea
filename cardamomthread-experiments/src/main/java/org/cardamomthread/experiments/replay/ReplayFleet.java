package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.policy.admission.ClassLimits;
import org.cardamomthread.policy.admission.SlowStart;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.routing.CacheEvent;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointLoad;
import org.cardamomthread.policy.routing.EndpointPrice;

/**
 * Holds the endpoints of a replay, what their homes count and what the gateways know.
 *
 * <p>Credits are exact at every moment; load reports lag and cache events are late and may be lost.
 * Not safe for use by several threads.
 */
final class ReplayFleet {

    static final int GATEWAYS = 6;

    private static final long REPORT_PERIOD_MS = 500;
    private static final int LEAST_LAG_MS = 200;
    private static final int LAG_RANGE_MS = 500;
    private static final int CACHE_EVENT_DELAY_MS = 1_000;
    private static final int CACHE_EVENT_DELAY_RANGE_MS = 2_000;
    private static final double LOST_EVENT_SHARE = 0.05;
    private static final long RESYNC_DELAY_MS = 5_000;
    private static final double RECLAIMS_PER_HOUR = 2;
    private static final long WARM_UP_MS = 30_000;

    private final EventLoop loop;
    private final Random random;
    private final FakePrices prices;
    private final boolean startsSlowly;
    private final boolean usesPrefixes;
    private final double clientDelayMs;
    private final long endMs;
    private final Map<EndpointId, Member> members = new LinkedHashMap<>();
    private final List<GatewayView> gateways = new ArrayList<>();
    private final Set<Integer> drained = new HashSet<>();
    private int started;

    ReplayFleet(
            EventLoop loop,
            Random random,
            FakePrices prices,
            Strategy strategy,
            Workload workload) {
        this.loop = loop;
        this.random = random;
        this.prices = prices;
        this.startsSlowly = strategy.startsSlowly();
        this.usesPrefixes = strategy.usesPrefixes();
        this.clientDelayMs = workload.clientDelayMs();
        this.endMs = workload.durationMs() + 60_000;
        for (int i = 0; i < GATEWAYS; i++) {
            gateways.add(new GatewayView());
        }
        workload.fleet().forEach(spec -> start(spec, false));
    }

    FakePrices prices() {
        return prices;
    }

    GatewayView gateway(int number) {
        return gateways.get(number);
    }

    FakeEndpoint endpoint(EndpointId id) {
        return members.get(id).endpoint;
    }

    List<FakeEndpoint> endpoints() {
        return members.values().stream().map(member -> member.endpoint).toList();
    }

    SlowStart slowStart(FakeEndpoint endpoint) {
        return members.get(endpoint.id()).slowStart;
    }

    Set<Integer> drained() {
        return drained;
    }

    boolean isUsable(FakeEndpoint endpoint) {
        return endpoint.isUsable() && !drained.contains(endpoint.spec().dataCentre());
    }

    FakeEndpoint start(EndpointSpec spec, boolean fresh) {
        EndpointId id = new EndpointId("endpoint-" + started++);
        FakeEndpoint endpoint = new FakeEndpoint(id, spec, prices, fresh, loop.nowMs());
        ClassLimits limits = new ClassLimits(spec.coldRequests(), spec.warmRequests(), WARM_UP_MS);
        long sinceMs = fresh ? loop.nowMs() : loop.nowMs() - WARM_UP_MS;
        Member member = new Member(endpoint, new SlowStart(limits, sinceMs));
        members.put(id, member);
        member.slowStart.onAnnouncement(1, endpoint.bears(loop.nowMs()), false, sinceMs);
        for (int i = 0; i < 10 * spec.warmRequests() && !fresh; i++) {
            member.slowStart.onFirstToken(1, 1, spec.warmRequests(), sinceMs, loop.nowMs());
        }
        refresh(endpoint);
        loop.every(
                REPORT_PERIOD_MS,
                endMs,
                () -> {
                    if (endpoint.isAlive()) {
                        sendReport(member);
                    }
                });
        return endpoint;
    }

    /** Returns the free places that the homes give credits for. */
    int credits(FakeEndpoint endpoint) {
        if (!isUsable(endpoint)) {
            return 0;
        }
        int limit = startsSlowly ? slowStart(endpoint).limit() : endpoint.spec().warmRequests();
        return Math.max(0, limit - endpoint.inFlight());
    }

    int credits(Call.Pool pool) {
        int sum = 0;
        for (Member member : members.values()) {
            if (member.endpoint.spec().pool() == pool) {
                sum += credits(member.endpoint);
            }
        }
        return sum;
    }

    int limits(Call.Pool pool) {
        int sum = 0;
        for (Member member : members.values()) {
            if (member.endpoint.spec().pool() == pool && isUsable(member.endpoint)) {
                sum += member.slowStart.limit();
            }
        }
        return sum;
    }

    /** Tells all gateways how many credits an endpoint has. */
    void refresh(FakeEndpoint endpoint) {
        Call.Pool pool = endpoint.spec().pool();
        int credits = credits(endpoint);
        for (GatewayView gateway : gateways) {
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

    void refreshAll() {
        endpoints().forEach(this::refresh);
    }

    /** Notes that a gateway sent a call. */
    void onSent(int gatewayNumber, FakeEndpoint endpoint, Call call, int uncachedTokens) {
        GatewayView gateway = gateways.get(gatewayNumber);
        Call.Pool pool = endpoint.spec().pool();
        gateway.pool(pool)
                .get(endpoint.id())
                .ifPresent(known -> gateway.update(pool, known.afterSend(uncachedTokens)));
        if (usesPrefixes) {
            gateway.prefixes().expect(endpoint.id(), call.prefix(), loop.nowMs());
        }
        refresh(endpoint);
    }

    /** Publishes the cache events of a prompt that was processed. */
    void publishCacheEvents(FakeEndpoint endpoint, Call call) {
        if (call.prefix().length() == 0) {
            return;
        }
        long[] stored = new long[call.prefix().length()];
        for (int k = 0; k < stored.length; k++) {
            stored[k] = call.prefix().block(k);
        }
        List<Long> evicted = endpoint.cache().store(call.prefix());
        publish(endpoint, CacheEvent.Type.STORED, stored);
        if (!evicted.isEmpty()) {
            long[] blocks = evicted.stream().mapToLong(Long::longValue).toArray();
            publish(endpoint, CacheEvent.Type.EVICTED, blocks);
        }
    }

    private void publish(FakeEndpoint endpoint, CacheEvent.Type type, long[] blocks) {
        Member member = members.get(endpoint.id());
        CacheEvent event = new CacheEvent(member.cacheSequence++, type, blocks);
        if (random.nextDouble() < LOST_EVENT_SHARE || !usesPrefixes) {
            return;
        }
        long dueMs =
                loop.nowMs() + CACHE_EVENT_DELAY_MS + random.nextInt(CACHE_EVENT_DELAY_RANGE_MS);
        member.cacheEventsDueMs = Math.max(dueMs, member.cacheEventsDueMs);
        loop.at(member.cacheEventsDueMs, () -> deliver(member, event));
    }

    private void deliver(Member member, CacheEvent event) {
        FakeEndpoint endpoint = member.endpoint;
        if (!endpoint.isUsable()) {
            return;
        }
        boolean needsResync = false;
        for (GatewayView gateway : gateways) {
            needsResync |= gateway.prefixes().apply(endpoint.id(), event, loop.nowMs());
        }
        if (needsResync && !member.resyncing) {
            member.resyncing = true;
            loop.after(RESYNC_DELAY_MS, () -> resync(member));
        }
    }

    private void resync(Member member) {
        member.resyncing = false;
        if (!member.endpoint.isUsable()) {
            return;
        }
        long[] contents = member.endpoint.cache().contents();
        for (GatewayView gateway : gateways) {
            gateway.prefixes()
                    .resync(member.endpoint.id(), member.cacheSequence - 1, contents, loop.nowMs());
        }
    }

    private void sendReport(Member member) {
        FakeEndpoint endpoint = member.endpoint;
        EndpointLoad report = endpoint.report(loop.nowMs());
        Call.Pool pool = endpoint.spec().pool();
        List<EndpointCandidate> covered = new ArrayList<>();
        for (GatewayView gateway : gateways) {
            covered.add(gateway.pool(pool).get(endpoint.id()).orElse(null));
        }
        loop.after(
                LEAST_LAG_MS + random.nextInt(LAG_RANGE_MS),
                () -> {
                    member.slowStart.onAnnouncement(
                            1, report.bearableRequests(), false, loop.nowMs());
                    for (int i = 0; i < GATEWAYS; i++) {
                        receiveReport(endpoint, report, gateways.get(i), covered.get(i));
                    }
                    refresh(endpoint);
                });
    }

    private void receiveReport(
            FakeEndpoint endpoint,
            EndpointLoad report,
            GatewayView gateway,
            EndpointCandidate covered) {
        Call.Pool pool = endpoint.spec().pool();
        EndpointCandidate known = gateway.pool(pool).get(endpoint.id()).orElse(null);
        if (known == null || covered == null || report.atMs() <= known.load().atMs()) {
            return;
        }
        boolean sameBase = covered.load().atMs() == known.load().atMs();
        int sent = known.sentSinceReport() - (sameBase ? covered.sentSinceReport() : 0);
        long tokens =
                known.promptTokensSentSinceReport()
                        - (sameBase ? covered.promptTokensSentSinceReport() : 0);
        gateway.update(pool, candidate(endpoint, report, Math.max(0, sent), Math.max(0, tokens)));
    }

    private EndpointCandidate candidate(
            FakeEndpoint endpoint, EndpointLoad load, int sent, long tokens) {
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

    /** Holds what the home of an endpoint knows. */
    private static final class Member {

        private final FakeEndpoint endpoint;
        private final SlowStart slowStart;
        private long cacheSequence;
        private long cacheEventsDueMs;
        private boolean resyncing;

        Member(FakeEndpoint endpoint, SlowStart slowStart) {
            this.endpoint = endpoint;
            this.slowStart = slowStart;
        }
    }
}
