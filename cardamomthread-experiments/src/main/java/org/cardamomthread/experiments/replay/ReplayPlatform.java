package org.cardamomthread.experiments.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.policy.capacity.CheapestMixHostPurchase;
import org.cardamomthread.policy.capacity.FleetView;
import org.cardamomthread.policy.capacity.HostOffer;
import org.cardamomthread.policy.capacity.HostPurchase;
import org.cardamomthread.policy.capacity.PurchaseDecision;
import org.cardamomthread.policy.capacity.PurchaseLimits;
import org.cardamomthread.policy.capacity.RefusalBackoff;
import org.cardamomthread.policy.capacity.WeightTransfers;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.reclaim.AffectedCall;
import org.cardamomthread.policy.reclaim.CheapestReclaimPlanner;
import org.cardamomthread.policy.reclaim.MoveTarget;
import org.cardamomthread.policy.reclaim.ReclaimAction;
import org.cardamomthread.policy.reclaim.ReclaimPlanner;

/**
 * Reclaims, refuses and starts hosts, turns endpoints cold and drains a data centre, at times that
 * depend on the seed only. Not safe for use by several threads.
 */
final class ReplayPlatform {

    private static final long MINUTE_MS = 60_000;
    private static final long DRAIN_FROM_MS = 14 * MINUTE_MS + 30_000;
    private static final long DRAIN_TO_MS = 17 * MINUTE_MS;
    private static final long AFTER_RETURN_MS = MINUTE_MS;
    private static final long[] WAVES_MS = {6 * MINUTE_MS, 24 * MINUTE_MS};
    private static final long SINGLE_PERIOD_MS = 4 * MINUTE_MS;
    private static final long COLD_PERIOD_MS = 3 * MINUTE_MS;
    private static final long NOTICE_MS = 8_000;
    private static final double EARLY_DEATH_SHARE = 0.2;
    private static final double REFUSED_SHARE = 0.4;
    private static final long PURCHASE_PERIOD_MS = 5_000;
    private static final long START_MS = 25_000;
    private static final long RESTART_MS = 20_000;
    private static final double KV_TOKENS_PER_SECOND = 40_000;

    private final EventLoop loop;
    private final ReplayFleet fleet;
    private final Workload workload;
    private final Random random;
    private final Replay replay;
    private final ReclaimPlanner planner = new CheapestReclaimPlanner();
    private final RefusalBackoff refusals = new RefusalBackoff(10_000, 60_000);
    private final HostPurchase purchase =
            new CheapestMixHostPurchase(new PurchaseLimits(0.15, 0.5), refusals);
    private final WeightTransfers transfers = new WeightTransfers(2, 6, 0);
    private final Map<HostOffer.Kind, Integer> starting = new HashMap<>();
    private final int drainedCentre;

    ReplayPlatform(
            EventLoop loop, ReplayFleet fleet, Workload workload, Random random, Replay replay) {
        this.loop = loop;
        this.fleet = fleet;
        this.workload = workload;
        this.random = random;
        this.replay = replay;
        this.drainedCentre = random.nextInt(FakePrices.DATA_CENTRES);
    }

    void schedule() {
        for (long waveMs : WAVES_MS) {
            int centre = random.nextInt(FakePrices.DATA_CENTRES);
            loop.at(waveMs, () -> reclaimCentre(centre));
        }
        loop.every(SINGLE_PERIOD_MS, workload.durationMs(), this::reclaimOne);
        loop.every(COLD_PERIOD_MS, workload.durationMs(), this::turnOneCold);
        loop.every(PURCHASE_PERIOD_MS, workload.durationMs(), this::purchase);
        loop.at(DRAIN_FROM_MS, () -> drain(true));
        loop.at(DRAIN_TO_MS, () -> drain(false));
    }

    boolean isDuringDrain(long atMs) {
        return atMs >= DRAIN_FROM_MS && atMs < DRAIN_TO_MS + AFTER_RETURN_MS;
    }

    /** Lets a fresh endpoint fall over and start again. */
    void collapse(FakeEndpoint endpoint) {
        die(endpoint);
        HostOffer.Kind kind = kindOf(endpoint.spec());
        starting.merge(kind, 1, Integer::sum);
        loop.after(
                RESTART_MS,
                () -> {
                    starting.merge(kind, -1, Integer::sum);
                    fleet.start(endpoint.spec(), true);
                });
    }

    private void drain(boolean out) {
        if (out) {
            fleet.drained().add(drainedCentre);
        } else {
            fleet.drained().remove(drainedCentre);
        }
        fleet.refreshAll();
    }

    private List<FakeEndpoint> reclaimable() {
        return fleet.endpoints().stream()
                .filter(FakeEndpoint::isUsable)
                .filter(endpoint -> endpoint.spec().priceClass() == PriceClass.RECLAIMABLE)
                .toList();
    }

    private void reclaimCentre(int centre) {
        reclaimable().stream()
                .filter(endpoint -> endpoint.spec().dataCentre() == centre)
                .forEach(this::reclaim);
    }

    private void reclaimOne() {
        int choice = random.nextInt(1_000);
        List<FakeEndpoint> endpoints = reclaimable();
        if (!endpoints.isEmpty()) {
            reclaim(endpoints.get(choice % endpoints.size()));
        }
    }

    private void turnOneCold() {
        int choice = random.nextInt(1_000);
        List<FakeEndpoint> endpoints =
                fleet.endpoints().stream().filter(FakeEndpoint::isUsable).toList();
        if (!endpoints.isEmpty()) {
            endpoints.get(choice % endpoints.size()).turnCold(loop.nowMs());
        }
    }

    private void reclaim(FakeEndpoint endpoint) {
        long noticeMs = random.nextDouble() < EARLY_DEATH_SHARE ? NOTICE_MS / 2 : NOTICE_MS;
        endpoint.leave();
        fleet.refresh(endpoint);
        if (replay.movesCalls()) {
            moveCalls(endpoint);
        }
        loop.after(noticeMs, () -> die(endpoint));
    }

    private void moveCalls(FakeEndpoint endpoint) {
        Map<String, Execution> executions = new HashMap<>();
        List<AffectedCall> calls = new ArrayList<>();
        Set<FakeEndpoint> taken = new HashSet<>();
        for (Execution execution : endpoint.running()) {
            executions.put(execution.state().call().id().value(), execution);
            calls.add(affected(execution));
        }
        Map<String, FakeEndpoint> targets = new HashMap<>();
        List<ReclaimAction> actions =
                planner.plan(
                        calls,
                        call ->
                                target(endpoint, executions.get(call.id().value()), taken)
                                        .map(
                                                found -> {
                                                    targets.put(call.id().value(), found);
                                                    return moveTarget(
                                                            found,
                                                            executions.get(call.id().value()));
                                                }),
                        NOTICE_MS);
        for (ReclaimAction action : actions) {
            apply(action, endpoint, executions, targets);
        }
    }

    private void apply(
            ReclaimAction action,
            FakeEndpoint endpoint,
            Map<String, Execution> executions,
            Map<String, FakeEndpoint> targets) {
        Execution execution = executions.get(action.request().value());
        switch (action.type()) {
            case FINISH, AWAIT -> {
                // goes on at the old host
            }
            case EXPORT_KV -> {
                CallState state = replay.interrupt(execution, endpoint);
                replay.moveKv(
                        state, targets.get(action.request().value()), action.interruptionMs());
            }
            default -> replay.retry(replay.interrupt(execution, endpoint));
        }
    }

    private AffectedCall affected(Execution execution) {
        CallState state = execution.state();
        int done = execution.tokensUntil(loop.nowMs());
        return new AffectedCall(
                state.call().id(),
                AffectedCall.Stage.RUNNING,
                true,
                state.call().promptTokens(),
                state.deliveredTokens() + done,
                Math.max(0, execution.tokens() - done),
                1_000 / execution.gapMs());
    }

    private Optional<FakeEndpoint> target(
            FakeEndpoint from, Execution execution, Set<FakeEndpoint> taken) {
        Optional<FakeEndpoint> found =
                fleet.endpoints().stream()
                        .filter(endpoint -> endpoint.spec().pool() == from.spec().pool())
                        .filter(endpoint -> fleet.credits(endpoint) > 0)
                        .max(
                                (one, other) ->
                                        Integer.compare(
                                                fleet.credits(one) - (taken.contains(one) ? 4 : 0),
                                                fleet.credits(other)
                                                        - (taken.contains(other) ? 4 : 0)));
        found.ifPresent(taken::add);
        return found;
    }

    private MoveTarget moveTarget(FakeEndpoint endpoint, Execution execution) {
        CallState state = execution.state();
        boolean model = endpoint.spec().pool() == Call.Pool.MODEL;
        boolean importsKv = model && endpoint.id().value().hashCode() % 2 == 0;
        double cached =
                fleet.gateway(state.gateway())
                        .prefixes()
                        .cachedTokens(endpoint.id(), state.call().prefix(), loop.nowMs());
        return new MoveTarget(
                endpoint.id(),
                model,
                importsKv,
                KV_TOKENS_PER_SECOND,
                endpoint.spec().prefillTokensPerSecond(),
                cached);
    }

    private void die(FakeEndpoint endpoint) {
        if (!endpoint.isAlive()) {
            return;
        }
        for (Execution execution : endpoint.running()) {
            replay.retry(replay.interrupt(execution, endpoint));
        }
        endpoint.die(loop.nowMs());
        fleet.refresh(endpoint);
    }

    private void purchase() {
        for (Call.Pool pool : Call.Pool.values()) {
            purchase(pool);
        }
    }

    private void purchase(Call.Pool pool) {
        List<EndpointSpec> initial =
                workload.fleet().stream().filter(spec -> spec.pool() == pool).toList();
        int needed = initial.stream().mapToInt(EndpointSpec::warmRequests).sum();
        Map<HostOffer.Kind, Integer> hosts = new HashMap<>(starting);
        hosts.keySet().removeIf(kind -> !kind.endpointClass().equals(classOf(pool)));
        for (FakeEndpoint endpoint : fleet.endpoints()) {
            if (endpoint.spec().pool() == pool && endpoint.isUsable()) {
                hosts.merge(kindOf(endpoint.spec()), 1, Integer::sum);
            }
        }
        Set<DataCentreId> drained = new HashSet<>();
        fleet.drained().forEach(centre -> drained.add(FakePrices.dataCentre(centre)));
        FleetView view = new FleetView(hosts, needed, drained, transfers.permitted(loop.nowMs()));
        PurchaseDecision decision = purchase.decide(view, offers(initial.get(0)), loop.nowMs());
        decision.starts().forEach(kind -> start(kind, initial.get(0)));
    }

    private void start(HostOffer.Kind kind, EndpointSpec like) {
        if (random.nextDouble() < REFUSED_SHARE) {
            refusals.onRefused(kind, loop.nowMs());
            return;
        }
        refusals.onStarted(kind);
        transfers.onBegin();
        starting.merge(kind, 1, Integer::sum);
        int centre = Integer.parseInt(kind.dataCentre().value().substring(3));
        loop.after(
                START_MS,
                () -> {
                    transfers.onEnd();
                    starting.merge(kind, -1, Integer::sum);
                    fleet.start(like.at(centre, kind.priceClass()), true);
                });
    }

    private List<HostOffer> offers(EndpointSpec like) {
        List<HostOffer> offers = new ArrayList<>();
        for (int centre = 0; centre < FakePrices.DATA_CENTRES; centre++) {
            for (PriceClass priceClass : PriceClass.values()) {
                EndpointSpec spec = like.at(centre, priceClass);
                double risk = priceClass == PriceClass.RECLAIMABLE ? 2 : 0;
                offers.add(
                        new HostOffer(
                                kindOf(spec),
                                fleet.prices().pricePerHour(spec, loop.nowMs()),
                                spec.warmRequests(),
                                START_MS,
                                risk));
            }
        }
        return offers;
    }

    private static EndpointClassId classOf(Call.Pool pool) {
        return new EndpointClassId(pool.name().toLowerCase(Locale.ROOT));
    }

    private static HostOffer.Kind kindOf(EndpointSpec spec) {
        return new HostOffer.Kind(
                classOf(spec.pool()), FakePrices.dataCentre(spec.dataCentre()), spec.priceClass());
    }
}
