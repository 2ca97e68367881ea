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
import org.cardamomthread.daemon.dialect.ControllerLeaseHolder;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.ScalingRequest;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.registry.RegisteredEndpoint;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.ViewServer;
import org.cardamomthread.daemon.view.generated.ServiceLoad;
import org.cardamomthread.policy.capacity.EndpointCountEstimator;
import org.cardamomthread.policy.capacity.EndpointMixPlanner;
import org.cardamomthread.policy.capacity.HostOffer;
import org.cardamomthread.policy.capacity.RefusalBackoff;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Requests endpoints from the platform for the services with autoscaling.
 *
 * <p>Invariant: requests are sent only while the controller lease is held, and at most one at a
 * time for each kind of endpoint. Runs on the control thread.
 */
public final class AutoscalingController {

    private static final Duration RUN_INTERVAL = Duration.ofMillis(500);

    /**
     * Maximum fraction of the required endpoints that may be reclaimable in one data centre, since
     * a reclaim takes all of these at once.
     */
    private static final double MAX_RECLAIMABLE_FRACTION_PER_DATA_CENTRE = 0.3;

    private static final long INITIAL_REFUSAL_BACKOFF_MS = 2_000;
    private static final long MAX_REFUSAL_BACKOFF_MS = 8_000;

    /**
     * Time in addition to the start-up time within which a requested endpoint is expected to
     * report.
     */
    private static final long REGISTRATION_MARGIN_MS = 4_000;

    private static final int STATUS_SUCCESS_END = 300;
    private static final int STATUS_CONFLICT = 409;

    private final Dependencies dependencies;
    private final RefusalBackoff refusals =
            new RefusalBackoff(INITIAL_REFUSAL_BACKOFF_MS, MAX_REFUSAL_BACKOFF_MS);
    private final EndpointMixPlanner planner =
            new EndpointMixPlanner(MAX_RECLAIMABLE_FRACTION_PER_DATA_CENTRE, refusals);
    private final Map<HostOffer.Kind, LastRequest> lastRequests = new HashMap<>();

    /** Number of endpoints when a service was first scaled, the minimum of the desired number. */
    private final Map<ServiceId, Integer> initialCounts = new HashMap<>();

    /** Holds the last request for one kind of endpoint. */
    private record LastRequest(int count, long updatedMs, boolean isInFlight) {}

    /**
     * Groups the collaborators of the controller. Immutable.
     *
     * @param lease determines whether this node may act
     * @param viewServer determines whether the gateways' reports are complete
     * @param gatewayReports supplies the load of each service
     * @param routes supplies the current traffic document
     * @param registry supplies the registered endpoints
     * @param dialect encodes the requests
     * @param platform sends the requests
     * @param timeSource supplies monotonic time
     * @param log receives an entry for each request
     */
    public record Dependencies(
            ControllerLease lease,
            ViewServer viewServer,
            GatewayReports gatewayReports,
            Supplier<Optional<RouteTable>> routes,
            EndpointRegistry registry,
            PlatformDialect dialect,
            FencedPlatformClient platform,
            TimeSource timeSource,
            DecisionLog log) {}

    /**
     * Creates the controller; {@link #start} schedules it.
     *
     * @param dependencies the collaborators
     */
    public AutoscalingController(Dependencies dependencies) {
        this.dependencies = dependencies;
    }

    /**
     * Schedules the controller.
     *
     * @param controlThread the thread on which it runs
     */
    public void start(ControlThread controlThread) {
        controlThread.scheduleWithFixedDelay(RUN_INTERVAL.toMillis(), () -> run(controlThread));
    }

    private void run(ControlThread controlThread) {
        Optional<ControllerLeaseHolder> holder = dependencies.lease().currentHolder();
        Optional<RouteTable> routes = dependencies.routes().get();
        if (holder.isEmpty() || !dependencies.viewServer().isSettled() || routes.isEmpty()) {
            return;
        }
        for (TrafficService service : routes.get().document().services()) {
            if (service.scaling().isPresent()) {
                scale(service, service.scaling().get(), controlThread);
            }
        }
    }

    private void scale(
            TrafficService service, EndpointScaling scaling, ControlThread controlThread) {
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
        int estimatedNeed =
                EndpointCountEstimator.estimate(
                        load.getInFlight(),
                        slots,
                        load.getPromptTokensPerS(),
                        load.getMsPerPromptToken());
        int desired = Math.max(initialCounts.get(service.id()), estimatedNeed);
        EndpointMixPlanner.PlanningInput input =
                new EndpointMixPlanner.PlanningInput(
                        desired,
                        load.getInFlight() > 0 ? estimatedNeed : desired,
                        applyRecentRequests(present, scaling, nowMs),
                        warm,
                        scaling.minPerDataCentre(),
                        scaling.maxPerDataCentre());
        planner.plan(input, offers, nowMs)
                .forEach(
                        (kind, count) ->
                                sendRequest(service, kind, count, estimatedNeed, controlThread));
    }

    /**
     * Counts the endpoints by kind and returns the largest number of slots of an endpoint, or 0 if
     * there are none.
     */
    private int countEndpoints(
            TrafficService service,
            Map<HostOffer.Kind, Integer> present,
            Map<HostOffer.Kind, Integer> warm,
            long nowMs) {
        int slots = 0;
        for (RegisteredEndpoint entry : dependencies.registry().listPresent()) {
            boolean isOfService = entry.report().service().equals(service.id());
            if (!isOfService || entry.report().isDraining()) {
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

    /**
     * Returns the endpoints by kind, with the requested number instead of the present one while
     * requested endpoints may still be starting.
     */
    private Map<HostOffer.Kind, Integer> applyRecentRequests(
            Map<HostOffer.Kind, Integer> present, EndpointScaling scaling, long nowMs) {
        Map<HostOffer.Kind, Integer> expected = new HashMap<>(present);
        long registrationTimeoutMs = scaling.startupMs() + REGISTRATION_MARGIN_MS;
        lastRequests.forEach(
                (kind, request) -> {
                    if (nowMs - request.updatedMs() < registrationTimeoutMs) {
                        expected.put(kind, request.count());
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
                                                scaling.startupMs(),
                                                0));
                            }
                        });
        return offers;
    }

    private void sendRequest(
            TrafficService service,
            HostOffer.Kind kind,
            int count,
            int estimatedNeed,
            ControlThread controlThread) {
        LastRequest lastRequest = lastRequests.get(kind);
        Optional<ControllerLeaseHolder> holder = dependencies.lease().currentHolder();
        if (lastRequest != null && lastRequest.isInFlight() || holder.isEmpty()) {
            return;
        }
        long nowMs = dependencies.timeSource().monotonicMs();
        lastRequests.put(kind, new LastRequest(count, nowMs, true));
        ScalingRequest request =
                new ScalingRequest(
                        service.id(),
                        kind.dataCentre(),
                        count,
                        kind.priceClass() == PriceClass.RECLAIMABLE);
        dependencies
                .platform()
                .send(dependencies.dialect().encodeScalingRequest(request, holder.get()))
                .whenComplete(
                        (status, failure) ->
                                controlThread.execute(
                                        () ->
                                                handleResult(
                                                        kind,
                                                        request,
                                                        estimatedNeed,
                                                        status,
                                                        failure)));
    }

    private void handleResult(
            HostOffer.Kind kind,
            ScalingRequest request,
            int estimatedNeed,
            Integer status,
            Throwable failure) {
        long nowMs = dependencies.timeSource().monotonicMs();
        boolean isAccepted = failure == null && status < STATUS_SUCCESS_END;
        if (isAccepted) {
            refusals.onAccepted(kind);
            lastRequests.put(kind, new LastRequest(request.desiredCount(), nowMs, false));
        } else {
            lastRequests.remove(kind);
            if (failure != null || status == STATUS_CONFLICT) {
                refusals.onRefused(kind, nowMs);
            }
        }
        dependencies.log().log(
                isAccepted ? "endpoints-ordered" : "endpoints-not-ordered",
                "service",
                request.service(),
                "dataCentre",
                request.dataCentre(),
                "reclaimable",
                request.isReclaimable(),
                "count",
                request.desiredCount(),
                "needed",
                estimatedNeed,
                "result",
                failure == null ? status : failure.getMessage());
    }

    /** Returns the endpoint class of a service; all endpoints of a service belong to one class. */
    private static EndpointClassId endpointClassOf(TrafficService service) {
        return new EndpointClassId(service.id().value());
    }
}
