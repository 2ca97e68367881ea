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
import org.cardamomthread.daemon.registry.EndpointRegister;
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
public final class ScalingDuty {

    private static final Duration INTERVAL = Duration.ofMillis(500);

    /** Reclaims take all reclaimable endpoints of one data centre. */
    private static final double RECLAIMABLE_SHARE = 0.3;

    private static final long FIRST_REFUSAL_PAUSE_MS = 2_000;
    private static final long LONGEST_REFUSAL_PAUSE_MS = 8_000;

    /** Time beyond the start in which an ordered endpoint is expected to report. */
    private static final long ARRIVAL_MARGIN_MS = 4_000;

    private static final int STATUS_AFTER_SUCCESS = 300;
    private static final int STATUS_CONFLICT = 409;

    private final Environment environment;
    private final RefusalBackoff refusals =
            new RefusalBackoff(FIRST_REFUSAL_PAUSE_MS, LONGEST_REFUSAL_PAUSE_MS);
    private final EndpointMixPlanner planner = new EndpointMixPlanner(RECLAIMABLE_SHARE, refusals);
    private final Map<HostOffer.Kind, Ordered> ordered = new HashMap<>();
    private final Map<ServiceId, Integer> declared = new HashMap<>();

    /** Holds the last order of a kind. */
    private record Ordered(int count, long atMs, boolean isOpen) {}

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
    public record Environment(
            DutyLease lease,
            ViewServer views,
            GatewayReports reports,
            Supplier<Optional<RouteTable>> routes,
            EndpointRegister register,
            PlatformDialect dialect,
            PlatformCaller platform,
            TimeSource timeSource,
            DecisionLog log) {}

    /**
     * Creates the duty.
     *
     * @param environment what it works with
     */
    public ScalingDuty(Environment environment) {
        this.environment = environment;
    }

    /**
     * Begins to perform the duty.
     *
     * @param control runs it
     */
    public void start(ControlThread control) {
        control.repeat(INTERVAL.toMillis(), () -> perform(control));
    }

    private void perform(ControlThread control) {
        Optional<DutyHolder> holder = environment.lease().current();
        Optional<RouteTable> routes = environment.routes().get();
        if (holder.isEmpty() || !environment.views().isSettled() || routes.isEmpty()) {
            return;
        }
        for (TrafficService service : routes.get().document().services()) {
            if (service.scaling().isPresent()) {
                scale(service, service.scaling().get(), control);
            }
        }
    }

    private void scale(TrafficService service, EndpointScaling scaling, ControlThread control) {
        long nowMs = environment.timeSource().monotonicMs();
        List<HostOffer> offers = createOffers(service, scaling);
        Map<HostOffer.Kind, Integer> present = new HashMap<>();
        Map<HostOffer.Kind, Integer> warm = new HashMap<>();
        int slots = count(service, present, warm, nowMs);
        if (slots == 0) {
            return;
        }
        int total = present.values().stream().mapToInt(Integer::intValue).sum();
        declared.putIfAbsent(service.id(), total);
        ServiceLoad load = environment.reports().sumLoad(service.id().value());
        int estimated =
                EndpointNeed.estimate(
                        load.getInFlight(),
                        slots,
                        load.getPromptTokensPerS(),
                        load.getMsPerPromptToken());
        int wanted = Math.max(declared.get(service.id()), estimated);
        EndpointMixPlanner.Situation situation =
                new EndpointMixPlanner.Situation(
                        wanted,
                        load.getInFlight() > 0 ? estimated : wanted,
                        addOrdered(present, scaling, nowMs),
                        warm,
                        scaling.minPerDataCentre(),
                        scaling.maxPerDataCentre());
        planner.plan(situation, offers, nowMs)
                .forEach((kind, number) -> order(service, kind, number, estimated, control));
    }

    /** Counts the endpoints by kind; returns the slots of one of them, 0 if there are none. */
    private int count(
            TrafficService service,
            Map<HostOffer.Kind, Integer> present,
            Map<HostOffer.Kind, Integer> warm,
            long nowMs) {
        int slots = 0;
        for (RegisteredEndpoint entry : environment.register().present()) {
            boolean isMeant = entry.report().service().equals(service.id());
            if (!isMeant || entry.report().isLeaving()) {
                continue;
            }
            HostOffer.Kind kind =
                    new HostOffer.Kind(
                            classOf(service),
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

    private Map<HostOffer.Kind, Integer> addOrdered(
            Map<HostOffer.Kind, Integer> present, EndpointScaling scaling, long nowMs) {
        Map<HostOffer.Kind, Integer> expected = new HashMap<>(present);
        long arrivalMs = scaling.startMs() + ARRIVAL_MARGIN_MS;
        ordered.forEach(
                (kind, order) -> {
                    if (nowMs - order.atMs() < arrivalMs) {
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
                                                        classOf(service), dataCentre, priceClass),
                                                price * share,
                                                1,
                                                scaling.startMs(),
                                                0));
                            }
                        });
        return offers;
    }

    private void order(
            TrafficService service,
            HostOffer.Kind kind,
            int number,
            int needed,
            ControlThread control) {
        Ordered last = ordered.get(kind);
        Optional<DutyHolder> holder = environment.lease().current();
        if (last != null && last.isOpen() || holder.isEmpty()) {
            return;
        }
        long nowMs = environment.timeSource().monotonicMs();
        ordered.put(kind, new Ordered(number, nowMs, true));
        ScalingOrder order =
                new ScalingOrder(
                        service.id(),
                        kind.dataCentre(),
                        number,
                        kind.priceClass() == PriceClass.RECLAIMABLE);
        environment
                .platform()
                .send(environment.dialect().encodeScaling(order, holder.get()))
                .whenComplete(
                        (status, failure) ->
                                control.execute(
                                        () -> conclude(kind, order, needed, status, failure)));
    }

    private void conclude(
            HostOffer.Kind kind,
            ScalingOrder order,
            int needed,
            Integer status,
            Throwable failure) {
        long nowMs = environment.timeSource().monotonicMs();
        boolean isAccepted = failure == null && status < STATUS_AFTER_SUCCESS;
        if (isAccepted) {
            refusals.onStarted(kind);
            ordered.put(kind, new Ordered(order.count(), nowMs, false));
        } else {
            ordered.remove(kind);
            if (failure != null || status == STATUS_CONFLICT) {
                refusals.onRefused(kind, nowMs);
            }
        }
        environment
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
                        order.count(),
                        "needed",
                        needed,
                        "result",
                        failure == null ? status : failure.getMessage());
    }

    /** Endpoints of one service are of one class. */
    private static EndpointClassId classOf(TrafficService service) {
        return new EndpointClassId(service.id().value());
    }
}
