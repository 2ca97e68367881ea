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
import org.cardamomthread.policy.capacity.CheapestMixHostPurchasePolicy;
import org.cardamomthread.policy.capacity.FleetCapacity;
import org.cardamomthread.policy.capacity.HostOffer;
import org.cardamomthread.policy.capacity.HostPurchasePolicy;
import org.cardamomthread.policy.capacity.PurchaseDecision;
import org.cardamomthread.policy.capacity.PurchaseLimits;
import org.cardamomthread.policy.capacity.RefusalBackoff;
import org.cardamomthread.policy.capacity.WeightTransferLimiter;
import org.cardamomthread.policy.profile.PriceClass;
import org.cardamomthread.policy.reclaim.AffectedCall;
import org.cardamomthread.policy.reclaim.CheapestReclaimPlanner;
import org.cardamomthread.policy.reclaim.MigrationTarget;
import org.cardamomthread.policy.reclaim.ReclaimAction;
import org.cardamomthread.policy.reclaim.ReclaimPlanner;

/**
 * Simulates the platform: reclaims, refuses and starts hosts, makes endpoints cold and drains a
 * data centre. All times and choices derive from the seed. Not thread-safe.
 */
final class ReplayPlatform {

    private static final long MINUTE_MS = 60_000;
    private static final long DRAIN_START_MS = 14 * MINUTE_MS + 30_000;
    private static final long DRAIN_END_MS = 17 * MINUTE_MS;
    private static final long DRAIN_RECOVERY_MS = MINUTE_MS;
    private static final long[] RECLAIM_WAVE_TIMES_MS = {6 * MINUTE_MS, 24 * MINUTE_MS};
    private static final long SINGLE_RECLAIM_INTERVAL_MS = 4 * MINUTE_MS;
    private static final long COLD_FAULT_INTERVAL_MS = 3 * MINUTE_MS;
    private static final long NOTICE_MS = 8_000;
    private static final double EARLY_TERMINATION_RATE = 0.2;
    private static final double START_REFUSAL_RATE = 0.4;
    private static final long PURCHASE_INTERVAL_MS = 5_000;
    private static final long HOST_START_MS = 25_000;
    private static final long ENDPOINT_RESTART_MS = 20_000;
    private static final double KV_TOKENS_PER_SECOND = 40_000;

    private final EventLoop loop;
    private final ReplayFleet fleet;
    private final Workload workload;
    private final Random random;
    private final Replay replay;
    private final ReclaimPlanner reclaimPlanner = new CheapestReclaimPlanner();
    private final RefusalBackoff refusalBackoff = new RefusalBackoff(10_000, 60_000);
    private final HostPurchasePolicy purchasePolicy =
            new CheapestMixHostPurchasePolicy(new PurchaseLimits(0.15, 0.5), refusalBackoff);
    private final WeightTransferLimiter transferLimiter = new WeightTransferLimiter(2, 6, 0);
    private final Map<HostOffer.Kind, Integer> startingHosts = new HashMap<>();
    private final int drainedDataCentre;

    ReplayPlatform(
            EventLoop loop, ReplayFleet fleet, Workload workload, Random random, Replay replay) {
        this.loop = loop;
        this.fleet = fleet;
        this.workload = workload;
        this.random = random;
        this.replay = replay;
        this.drainedDataCentre = random.nextInt(SimulatedPrices.DATA_CENTRES);
    }

    void schedule() {
        for (long waveMs : RECLAIM_WAVE_TIMES_MS) {
            int dataCentre = random.nextInt(SimulatedPrices.DATA_CENTRES);
            loop.scheduleAt(waveMs, () -> reclaimDataCentre(dataCentre));
        }
        loop.scheduleEvery(SINGLE_RECLAIM_INTERVAL_MS, workload.durationMs(), this::reclaimOne);
        loop.scheduleEvery(COLD_FAULT_INTERVAL_MS, workload.durationMs(), this::makeOneCold);
        loop.scheduleEvery(PURCHASE_INTERVAL_MS, workload.durationMs(), this::purchaseHosts);
        loop.scheduleAt(DRAIN_START_MS, () -> drain(true));
        loop.scheduleAt(DRAIN_END_MS, () -> drain(false));
    }

    boolean isDuringDrain(long atMs) {
        return atMs >= DRAIN_START_MS && atMs < DRAIN_END_MS + DRAIN_RECOVERY_MS;
    }

    /** Terminates an overloaded endpoint and starts it again after a delay. */
    void restartAfterOverload(SimulatedEndpoint endpoint) {
        terminate(endpoint);
        HostOffer.Kind kind = kindOf(endpoint.spec());
        startingHosts.merge(kind, 1, Integer::sum);
        loop.scheduleAfter(
                ENDPOINT_RESTART_MS,
                () -> {
                    startingHosts.merge(kind, -1, Integer::sum);
                    fleet.start(endpoint.spec(), true);
                });
    }

    private void drain(boolean isDrained) {
        if (isDrained) {
            fleet.drainedDataCentres().add(drainedDataCentre);
        } else {
            fleet.drainedDataCentres().remove(drainedDataCentre);
        }
        fleet.publishAllCredits();
    }

    private List<SimulatedEndpoint> reclaimable() {
        return fleet.endpoints().stream()
                .filter(SimulatedEndpoint::isUsable)
                .filter(endpoint -> endpoint.spec().priceClass() == PriceClass.RECLAIMABLE)
                .toList();
    }

    private void reclaimDataCentre(int dataCentre) {
        reclaimable().stream()
                .filter(endpoint -> endpoint.spec().dataCentre() == dataCentre)
                .forEach(this::reclaim);
    }

    private void reclaimOne() {
        int draw = random.nextInt(1_000);
        List<SimulatedEndpoint> endpoints = reclaimable();
        if (!endpoints.isEmpty()) {
            reclaim(endpoints.get(draw % endpoints.size()));
        }
    }

    private void makeOneCold() {
        int draw = random.nextInt(1_000);
        List<SimulatedEndpoint> endpoints =
                fleet.endpoints().stream().filter(SimulatedEndpoint::isUsable).toList();
        if (!endpoints.isEmpty()) {
            endpoints.get(draw % endpoints.size()).makeCold(loop.nowMs());
        }
    }

    private void reclaim(SimulatedEndpoint endpoint) {
        long noticeMs = random.nextDouble() < EARLY_TERMINATION_RATE ? NOTICE_MS / 2 : NOTICE_MS;
        endpoint.markLeaving();
        fleet.publishCredits(endpoint);
        if (replay.migratesCalls()) {
            migrateCalls(endpoint);
        }
        loop.scheduleAfter(noticeMs, () -> terminate(endpoint));
    }

    private void migrateCalls(SimulatedEndpoint endpoint) {
        Map<String, Execution> executions = new HashMap<>();
        List<AffectedCall> calls = new ArrayList<>();
        Set<SimulatedEndpoint> selectedTargets = new HashSet<>();
        for (Execution execution : endpoint.running()) {
            executions.put(execution.state().call().id().value(), execution);
            calls.add(affectedCall(execution));
        }
        Map<String, SimulatedEndpoint> targets = new HashMap<>();
        List<ReclaimAction> actions =
                reclaimPlanner.plan(
                        calls,
                        call ->
                                selectTarget(
                                                endpoint,
                                                executions.get(call.id().value()),
                                                selectedTargets)
                                        .map(
                                                target -> {
                                                    targets.put(call.id().value(), target);
                                                    return toMigrationTarget(
                                                            target,
                                                            executions.get(call.id().value()));
                                                }),
                        NOTICE_MS);
        for (ReclaimAction action : actions) {
            apply(action, endpoint, executions, targets);
        }
    }

    private void apply(
            ReclaimAction action,
            SimulatedEndpoint endpoint,
            Map<String, Execution> executions,
            Map<String, SimulatedEndpoint> targets) {
        Execution execution = executions.get(action.request().value());
        switch (action.type()) {
            case FINISH, AWAIT -> {
                // The call continues at the old host.
            }
            case EXPORT_KV -> {
                CallState state = replay.interrupt(execution, endpoint);
                replay.resumeAfterKvTransfer(
                        state, targets.get(action.request().value()), action.interruptionMs());
            }
            default -> replay.retry(replay.interrupt(execution, endpoint));
        }
    }

    private AffectedCall affectedCall(Execution execution) {
        CallState state = execution.state();
        int done = execution.tokensUntil(loop.nowMs());
        return new AffectedCall(
                state.call().id(),
                AffectedCall.Stage.RUNNING,
                true,
                state.call().promptTokens(),
                state.deliveredTokens() + done,
                Math.max(0, execution.tokens() - done),
                1_000 / execution.tokenIntervalMs());
    }

    private Optional<SimulatedEndpoint> selectTarget(
            SimulatedEndpoint from, Execution execution, Set<SimulatedEndpoint> selectedTargets) {
        Optional<SimulatedEndpoint> target =
                fleet.endpoints().stream()
                        .filter(endpoint -> endpoint.spec().pool() == from.spec().pool())
                        .filter(endpoint -> fleet.credits(endpoint) > 0)
                        .max(
                                (one, other) ->
                                        Integer.compare(
                                                fleet.credits(one)
                                                        - (selectedTargets.contains(one) ? 4 : 0),
                                                fleet.credits(other)
                                                        - (selectedTargets.contains(other)
                                                                ? 4
                                                                : 0)));
        target.ifPresent(selectedTargets::add);
        return target;
    }

    private MigrationTarget toMigrationTarget(SimulatedEndpoint endpoint, Execution execution) {
        CallState state = execution.state();
        boolean isModel = endpoint.spec().pool() == Call.Pool.MODEL;
        boolean canImportKv = isModel && endpoint.id().value().hashCode() % 2 == 0;
        double cached =
                fleet.gateway(state.gateway())
                        .prefixes()
                        .estimateCachedTokens(endpoint.id(), state.call().prefix(), loop.nowMs());
        return new MigrationTarget(
                endpoint.id(),
                isModel,
                canImportKv,
                KV_TOKENS_PER_SECOND,
                endpoint.spec().prefillTokensPerSecond(),
                cached);
    }

    private void terminate(SimulatedEndpoint endpoint) {
        if (!endpoint.isAlive()) {
            return;
        }
        for (Execution execution : endpoint.running()) {
            replay.retry(replay.interrupt(execution, endpoint));
        }
        endpoint.terminate(loop.nowMs());
        fleet.publishCredits(endpoint);
    }

    private void purchaseHosts() {
        for (Call.Pool pool : Call.Pool.values()) {
            purchaseHosts(pool);
        }
    }

    private void purchaseHosts(Call.Pool pool) {
        List<EndpointSpec> initial =
                workload.fleet().stream().filter(spec -> spec.pool() == pool).toList();
        int needed = initial.stream().mapToInt(EndpointSpec::warmConcurrency).sum();
        Map<HostOffer.Kind, Integer> hosts = new HashMap<>(startingHosts);
        hosts.keySet().removeIf(kind -> !kind.endpointClass().equals(classOf(pool)));
        for (SimulatedEndpoint endpoint : fleet.endpoints()) {
            if (endpoint.spec().pool() == pool && endpoint.isUsable()) {
                hosts.merge(kindOf(endpoint.spec()), 1, Integer::sum);
            }
        }
        Set<DataCentreId> drained = new HashSet<>();
        fleet.drainedDataCentres()
                .forEach(dataCentre -> drained.add(SimulatedPrices.dataCentre(dataCentre)));
        FleetCapacity capacity =
                new FleetCapacity(
                        hosts, needed, drained, transferLimiter.permittedStarts(loop.nowMs()));
        PurchaseDecision decision =
                purchasePolicy.decide(capacity, offers(initial.get(0)), loop.nowMs());
        decision.starts().forEach(kind -> start(kind, initial.get(0)));
    }

    private void start(HostOffer.Kind kind, EndpointSpec template) {
        if (random.nextDouble() < START_REFUSAL_RATE) {
            refusalBackoff.onRefused(kind, loop.nowMs());
            return;
        }
        refusalBackoff.onAccepted(kind);
        transferLimiter.onStarted();
        startingHosts.merge(kind, 1, Integer::sum);
        int dataCentre = Integer.parseInt(kind.dataCentre().value().substring(3));
        loop.scheduleAfter(
                HOST_START_MS,
                () -> {
                    transferLimiter.onEnded();
                    startingHosts.merge(kind, -1, Integer::sum);
                    fleet.start(template.withPlacement(dataCentre, kind.priceClass()), true);
                });
    }

    private List<HostOffer> offers(EndpointSpec template) {
        List<HostOffer> offers = new ArrayList<>();
        for (int dataCentre = 0; dataCentre < SimulatedPrices.DATA_CENTRES; dataCentre++) {
            for (PriceClass priceClass : PriceClass.values()) {
                EndpointSpec spec = template.withPlacement(dataCentre, priceClass);
                double risk = priceClass == PriceClass.RECLAIMABLE ? 2 : 0;
                offers.add(
                        new HostOffer(
                                kindOf(spec),
                                fleet.prices().pricePerHour(spec, loop.nowMs()),
                                spec.warmConcurrency(),
                                HOST_START_MS,
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
                classOf(spec.pool()),
                SimulatedPrices.dataCentre(spec.dataCentre()),
                spec.priceClass());
    }
}
