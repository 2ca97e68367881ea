package org.cardamomthread.daemon.duty;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.cardamomthread.configuration.traffic.EndpointScaling;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.dialect.DutyHolder;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.ScalingOrder;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.registry.RegisteredEndpoint;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.ViewServer;
import org.cardamomthread.daemon.view.generated.ServiceLoad;
import org.cardamomthread.policy.capacity.EndpointMixPlanner;
import org.cardamomthread.policy.capacity.EndpointNeed;
import org.cardamomthread.policy.capacity.HostOffer;
import org.cardamomthread.policy.capacity.RefusalBackoff;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Orders endpoints for the services whose number may be changed.
 *
 * <p>Invariant: orders go out only under the duty's lease, and one for a kind at a time. Runs on
 * the control thread.
 */
public final class AutoscalingController {

    private static final Duration RUN_INTERVAL = Duration.ofMillis(500);

    /** Reclaims take all reclaimable endpoints of one data centre. */
    private static final double MAX_RECLAIMABLE_FRACTION_PER_DATA_CENTRE = 0.3;

    private static final long INITIAL_REFUSAL_BACKOFF_MS = 2_000;
    private static final long MAX_REFUSAL_BACKOFF_MS = 8_000;

    /** Time beyond the start in which an ordered endpoint is expected to report. */
    private static final long REGISTRATION_MARGIN_MS = 4_000;

    private static final int STATUS_SUCCESS_END = 300;
    private static final int STATUS_CONFLICT = 409;

    private final Dependencies dependencies;
    private final RefusalBackoff refusals =
            new RefusalBackoff(INITIAL_REFUSAL_BACKOFF_MS, MAX_REFUSAL_BACKOFF_MS);
    private final EndpointMixPlanner planner =
            new EndpointMixPlanner(MAX_RECLAIMABLE_FRACTION_PER_DATA_CENTRE, refusals);
    private final Map<HostOffer.Kind, LastOrder> lastOrders = new HashMap<>();
    private final Map<ServiceId, Integer> initialCounts = new HashMap<>();

    /** Holds the last order of a kind. */
    private record LastOrder(int count, long updatedMs, boolean isInFlight) {}

    /**
     * Groups what the duty works with. Immutable.
     *
     * @param lease tells whether this node may act
     * @param views tells whether the gateways' reports are complete
     * @param reports the gateways' loads
     * @param routes the document in force
     * @param register the endpoints
     * @param dialect reads the document and writes orders
     * @param platform sends orders
     * @param timeSource the clock
     * @param log writes orders
     */
    public record Dependencies(
            ControllerLease lease,
            ViewServer viewServer,
            GatewayReports gatewayReports,
            Supplier<Optional<RouteTable>> routes,
            EndpointRegistry registry,
            PlatformDialect dialect,
            PlatformClient platform,
            TimeSource timeSource,
            DecisionLog log) {}

    /**
     * Creates the duty.
     *
     * @param environment what it works with
     */
    public AutoscalingController(Dependencies environment) {
        this.dependencies = environment;
    }

    /**
     * Begins to perform the duty.
     *
     * @param control runs it
     */
    public void start(ControlThread control) {
        control.repeat(RUN_INTERVAL.toMillis(), () -> run(control));
    }

    private void run(ControlThread control) {
        Optional<DutyHolder> holder = dependencies.lease().current();
        Optional<RouteTable> routes = dependencies.routes().get();
        if (holder.isEmpty() || !dependencies.viewServer().isSettled() || routes.isEmpty()) {
            return;
        }
        for (TrafficService service : routes.get().document().services()) {
            if (service.scaling().isPresent()) {
                scale(service, service.scaling().get(), control);
            }
        }
    }

    private void scale(TrafficService service, EndpointScaling scaling, ControlThread control) {
        long nowMs = dependencies.timeSource().monotonicMs();
        List<HostOffer> offers = createOffers(service, scaling);
        Map<HostOffer.Kind, Integer> present = new HashMap<>();
        Map<HostOffer.Kind, Integer> warm = new HashMap<>();
        int slots = countEndpoints(service, present, warm, nowMs);
        if (slots == 0) {
            return;
        }
        int total = present.values().stream().mapToInt(Integer::intValue).sum();
        initialCounts.putIfAbsent(service.id(), total);
        ServiceLoad load = dependencies.gatewayReports().sumServiceLoad(service.id().value());
        int estimated =
                EndpointNeed.estimate(
                        load.getInFlight(),
                        slots,
                        load.getPromptTokensPerS(),
                        load.getMsPerPromptToken());
        int wanted = Math.max(initialCounts.get(service.id()), estimated);
        EndpointMixPlanner.Situation situation =
                new EndpointMixPlanner.Situation(
                        wanted,
                        load.getInFlight() > 0 ? estimated : wanted,
                        addExpected(present, scaling, nowMs),
                        warm,
                        scaling.minPerDataCentre(),
                        scaling.maxPerDataCentre());
        planner.plan(situation, offers, nowMs)
                .forEach((kind, number) -> sendOrder(service, kind, number, estimated, control));
    }

    /** Counts the endpoints by kind; returns the slots of one of them, 0 if there are none. */
    private int countEndpoints(
            TrafficService service,
            Map<HostOffer.Kind, Integer> present,
            Map<HostOffer.Kind, Integer> warm,
            long nowMs) {
        int slots = 0;
        for (RegisteredEndpoint entry : dependencies.registry().listPresent()) {
            boolean isMeant = entry.report().service().equals(service.id());
            if (!isMeant || entry.report().isDraining()) {
                continue;
            }
            HostOffer.Kind kind =
                    new HostOffer.Kind(
                            endpointClassOf(service),
                            entry.report().dataCentre(),
                            entry.report().isReclaimable()
                                    ? PriceClass.RECLAIMABLE
                                    : PriceClass.ON_DEMAND);
            present.merge(kind, 1, Integer::sum);
            if (nowMs >= entry.coldUntilMs()) {
                warm.merge(kind, 1, Integer::sum);
            }
            slots = Math.max(slots, entry.report().slots());
        }
        return slots;
    }

    private Map<HostOffer.Kind, Integer> addExpected(
            Map<HostOffer.Kind, Integer> present, EndpointScaling scaling, long nowMs) {
        Map<HostOffer.Kind, Integer> expected = new HashMap<>(present);
        long arrivalMs = scaling.startMs() + REGISTRATION_MARGIN_MS;
        lastOrders.forEach(
                (kind, order) -> {
                    if (nowMs - order.updatedMs() < arrivalMs) {
                        expected.put(kind, order.count());
                    }
                });
        return expected;
    }

    private List<HostOffer> createOffers(TrafficService service, EndpointScaling scaling) {
        List<HostOffer> offers = new ArrayList<>();
        scaling.prices()
                .forEach(
                        (dataCentre, price) -> {
                            for (PriceClass priceClass : PriceClass.values()) {
                                double share =
                                        priceClass == PriceClass.RECLAIMABLE
                                                ? scaling.reclaimablePriceShare()
                                                : 1;
                                offers.add(
                                        new HostOffer(
                                                new HostOffer.Kind(
                                                        endpointClassOf(service),
                                                        dataCentre,
                                                        priceClass),
                                                price * share,
                                                1,
                                                scaling.startMs(),
                                                0));
                            }
                        });
        return offers;
    }

    private void sendOrder(
            TrafficService service,
            HostOffer.Kind kind,
            int number,
            int needed,
            ControlThread control) {
        LastOrder last = lastOrders.get(kind);
        Optional<DutyHolder> holder = dependencies.lease().current();
        if (last != null && last.isInFlight() || holder.isEmpty()) {
            return;
        }
        long nowMs = dependencies.timeSource().monotonicMs();
        lastOrders.put(kind, new LastOrder(number, nowMs, true));
        ScalingOrder order =
                new ScalingOrder(
                        service.id(),
                        kind.dataCentre(),
                        number,
                        kind.priceClass() == PriceClass.RECLAIMABLE);
        dependencies
                .platform()
                .send(dependencies.dialect().encodeScaling(order, holder.get()))
                .whenComplete(
                        (status, failure) ->
                                control.execute(
                                        () ->
                                                handleOrderResult(
                                                        kind, order, needed, status, failure)));
    }

    private void handleOrderResult(
            HostOffer.Kind kind,
            ScalingOrder order,
            int needed,
            Integer status,
            Throwable failure) {
        long nowMs = dependencies.timeSource().monotonicMs();
        boolean isAccepted = failure == null && status < STATUS_SUCCESS_END;
        if (isAccepted) {
            refusals.onStarted(kind);
            lastOrders.put(kind, new LastOrder(order.desiredCount(), nowMs, false));
        } else {
            lastOrders.remove(kind);
            if (failure != null || status == STATUS_CONFLICT) {
                refusals.onRefused(kind, nowMs);
            }
        }
        dependencies
                .log()
                .write(
                        isAccepted ? "endpoints-ordered" : "endpoints-not-ordered",
                        "service",
                        order.service(),
                        "dataCentre",
                        order.dataCentre(),
                        "reclaimable",
                        order.isReclaimable(),
                        "count",
                        order.desiredCount(),
                        "needed",
                        needed,
                        "result",
                        failure == null ? status : failure.getMessage());
    }

    /** Endpoints of one service are of one class. */
    private static EndpointClassId endpointClassOf(TrafficService service) {
        return new EndpointClassId(service.id().value());
    }
}
