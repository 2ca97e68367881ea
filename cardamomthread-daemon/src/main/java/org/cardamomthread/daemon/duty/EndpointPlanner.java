package org.cardamomthread.daemon.duty;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.configuration.traffic.EndpointScaling;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.registry.RegisteredEndpoint;
import org.cardamomthread.daemon.view.generated.ServiceLoad;
import org.cardamomthread.policy.capacity.EndpointCountEstimator;
import org.cardamomthread.policy.capacity.EndpointMixPlanner;
import org.cardamomthread.policy.capacity.HostOffer;
import org.cardamomthread.policy.capacity.RefusalBackoff;
import org.cardamomthread.policy.profile.PriceClass;

/**
 * Plans how many endpoints of each kind to request for the services with autoscaling.
 *
 * <p>Invariants: a service without endpoints is planned for like any other, by what was last seen
 * of it. While a version move is in progress no endpoint is released, since the platform starts the
 * endpoints of the target version beside the others and does not tell the two apart when endpoints
 * are released. Not thread-safe.
 */
final class EndpointPlanner {

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

    /**
     * Time for which the largest number of endpoints seen is remembered, so that a new leader does
     * not take what a failure has left of a service for its usual size.
     */
    private static final long PEAK_RETENTION_MS = 30_000;

    private final RefusalBackoff refusals =
            new RefusalBackoff(INITIAL_REFUSAL_BACKOFF_MS, MAX_REFUSAL_BACKOFF_MS);
    private final EndpointMixPlanner mixPlanner =
            new EndpointMixPlanner(MAX_RECLAIMABLE_FRACTION_PER_DATA_CENTRE, refusals);
    private final Map<HostOffer.Kind, LastRequest> lastRequests = new HashMap<>();
    private final Map<ServiceId, ServiceHistory> histories = new HashMap<>();

    /**
     * Holds the last request for one kind of endpoint.
     *
     * @param planned the requested number, without endpoints that do not serve the usual traffic
     * @param starting how many of them were not present at the time of the request
     */
    private record LastRequest(int planned, int starting, long updatedMs, boolean isInFlight) {}

    /** Holds what was last seen of a service. */
    private static final class ServiceHistory {
        private int slots;
        private int peak;
        private long peakMs;
        private Optional<Integer> initialCount = Optional.empty();
    }

    /**
     * Holds the plan for one service. Immutable.
     *
     * @param requests the total to request for each kind whose number should change
     * @param usable number of endpoints that serve the usual traffic
     * @param desired number of endpoints that should serve it
     * @param needed number of endpoints that the load requires
     * @param isMoving whether a version move is in progress, during which nothing is released
     */
    record Plan(List<Request> requests, int usable, int desired, int needed, boolean isMoving) {}

    /**
     * Describes a request for endpoints of one kind.
     *
     * @param kind the kind of endpoint
     * @param count the total number to request
     * @param planned the part of it that is to serve the usual traffic
     * @param present the number of those that are present
     */
    record Request(HostOffer.Kind kind, int count, int planned, int present) {}

    /** Counts the endpoints of a service by kind. */
    private static final class EndpointCounts {
        private final Map<HostOffer.Kind, Integer> usable = new HashMap<>();
        private final Map<HostOffer.Kind, Integer> warm = new HashMap<>();
        private final Map<HostOffer.Kind, Integer> others = new HashMap<>();

        private int usableTotal() {
            return usable.values().stream().mapToInt(Integer::intValue).sum();
        }
    }

    /**
     * Records the number and size of a service's endpoints. Every control node does so at all
     * times, since it may become the leader at the moment of a failure.
     *
     * @param service the service
     * @param present its endpoints that are present
     * @param move the latest version move of the service
     * @param nowMs monotonic time, in milliseconds
     * @param wallClockMs wall clock time, in milliseconds since 1970
     */
    void observe(
            TrafficService service,
            Collection<RegisteredEndpoint> present,
            Optional<VersionMoveState> move,
            long nowMs,
            long wallClockMs) {
        ServiceHistory history = historyOf(service);
        MovePhase phase = MovePhase.of(move, wallClockMs);
        int usable = count(service, present, phase, history, nowMs).usableTotal();
        if (usable >= history.peak || nowMs - history.peakMs > PEAK_RETENTION_MS) {
            history.peak = usable;
            history.peakMs = nowMs;
        }
    }

    /**
     * Plans the endpoints of a service.
     *
     * @param service the service
     * @param scaling its limits and prices
     * @param present its endpoints that are present
     * @param move the latest version move of the service
     * @param load the load that the gateways send to the service
     * @param nowMs monotonic time, in milliseconds
     * @param wallClockMs wall clock time, in milliseconds since 1970
     */
    Plan plan(
            TrafficService service,
            EndpointScaling scaling,
            Collection<RegisteredEndpoint> present,
            Optional<VersionMoveState> move,
            ServiceLoad load,
            long nowMs,
            long wallClockMs) {
        ServiceHistory history = historyOf(service);
        MovePhase phase = MovePhase.of(move, wallClockMs);
        EndpointCounts counts = count(service, present, phase, history, nowMs);
        if (history.initialCount.isEmpty() && history.peak > 0) {
            history.initialCount = Optional.of(history.peak);
        }
        int needed = estimateNeed(load, history.slots);
        int minimum = Math.max(1, scaling.minPerDataCentre() * scaling.prices().size());
        int desired = Math.max(history.initialCount.orElse(minimum), needed);
        List<HostOffer> offers = createOffers(service, scaling);
        Map<HostOffer.Kind, Integer> provisioned =
                applyRecentRequests(counts.usable, offers, scaling, nowMs);
        EndpointMixPlanner.PlanningInput input =
                new EndpointMixPlanner.PlanningInput(
                        desired,
                        load.getInFlight() > 0 ? needed : desired,
                        provisioned,
                        counts.warm,
                        scaling.minPerDataCentre(),
                        scaling.maxPerDataCentre());
        List<Request> requests = new ArrayList<>();
        mixPlanner
                .plan(input, offers, nowMs)
                .forEach(
                        (kind, planned) ->
                                requests.add(createRequest(kind, planned, counts, scaling)));
        if (phase.isMoving()) {
            retainIncreases(requests, provisioned, desired);
        }
        requests.removeIf(request -> isInFlight(request.kind()));
        return new Plan(
                List.copyOf(requests), counts.usableTotal(), desired, needed, phase.isMoving());
    }

    /** Removes the requests that would release endpoints, and all if there are enough. */
    private static void retainIncreases(
            List<Request> requests, Map<HostOffer.Kind, Integer> provisioned, int desired) {
        int expected = provisioned.values().stream().mapToInt(Integer::intValue).sum();
        requests.removeIf(
                request ->
                        expected >= desired
                                || request.planned() < provisioned.getOrDefault(request.kind(), 0));
    }

    /** Records that a request is being sent. */
    void recordSent(Request request, long nowMs) {
        lastRequests.put(request.kind(), createLastRequest(request, nowMs, true));
    }

    /** Records that the platform accepted a request. */
    void recordAccepted(Request request, long nowMs) {
        refusals.onAccepted(request.kind());
        lastRequests.put(request.kind(), createLastRequest(request, nowMs, false));
    }

    /** Records that a request had no effect, as far as is known. */
    void recordFailed(Request request, boolean delaysNext, long nowMs) {
        lastRequests.remove(request.kind());
        if (delaysNext) {
            refusals.onRefused(request.kind(), nowMs);
        }
    }

    private static LastRequest createLastRequest(Request request, long nowMs, boolean isInFlight) {
        int starting = Math.max(0, request.planned() - request.present());
        return new LastRequest(request.planned(), starting, nowMs, isInFlight);
    }

    private boolean isInFlight(HostOffer.Kind kind) {
        LastRequest lastRequest = lastRequests.get(kind);
        return lastRequest != null && lastRequest.isInFlight();
    }

    private ServiceHistory historyOf(TrafficService service) {
        return histories.computeIfAbsent(service.id(), id -> new ServiceHistory());
    }

    private static int estimateNeed(ServiceLoad load, int slots) {
        if (slots == 0) {
            return 1;
        }
        return EndpointCountEstimator.estimate(
                load.getInFlight(), slots, load.getPromptTokensPerS(), load.getMsPerPromptToken());
    }

    private static EndpointCounts count(
            TrafficService service,
            Collection<RegisteredEndpoint> present,
            MovePhase phase,
            ServiceHistory history,
            long nowMs) {
        EndpointCounts counts = new EndpointCounts();
        int slots = 0;
        for (RegisteredEndpoint entry : present) {
            if (entry.report().isDraining()) {
                continue;
            }
            HostOffer.Kind kind = kindOf(service, entry);
            slots = Math.max(slots, entry.report().slots());
            if (!phase.isUsable(entry.report().version())) {
                counts.others.merge(kind, 1, Integer::sum);
                continue;
            }
            counts.usable.merge(kind, 1, Integer::sum);
            if (nowMs >= entry.coldUntilMs()) {
                counts.warm.merge(kind, 1, Integer::sum);
            }
        }
        if (slots > 0) {
            history.slots = slots;
        }
        return counts;
    }

    private static Request createRequest(
            HostOffer.Kind kind, int planned, EndpointCounts counts, EndpointScaling scaling) {
        int usable = counts.usable.getOrDefault(kind, 0);
        int others = counts.others.getOrDefault(kind, 0);
        int maximum = Math.max(scaling.maxPerDataCentre(), usable + others);
        return new Request(kind, Math.min(planned + others, maximum), planned, usable);
    }

    /**
     * Returns the endpoints by kind, including requested ones that may still be starting and
     * without those that were requested to stop.
     */
    private Map<HostOffer.Kind, Integer> applyRecentRequests(
            Map<HostOffer.Kind, Integer> usable,
            List<HostOffer> offers,
            EndpointScaling scaling,
            long nowMs) {
        Map<HostOffer.Kind, Integer> expected = new HashMap<>(usable);
        long registrationTimeoutMs = scaling.startupMs() + REGISTRATION_MARGIN_MS;
        for (HostOffer offer : offers) {
            LastRequest request = lastRequests.get(offer.kind());
            if (request != null && nowMs - request.updatedMs() < registrationTimeoutMs) {
                int present = usable.getOrDefault(offer.kind(), 0);
                expected.put(
                        offer.kind(), Math.min(request.planned(), present + request.starting()));
            }
        }
        return expected;
    }

    private static List<HostOffer> createOffers(TrafficService service, EndpointScaling scaling) {
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

    private static HostOffer.Kind kindOf(TrafficService service, RegisteredEndpoint entry) {
        return new HostOffer.Kind(
                endpointClassOf(service),
                entry.report().dataCentre(),
                entry.report().isReclaimable() ? PriceClass.RECLAIMABLE : PriceClass.ON_DEMAND);
    }

    /** Returns the endpoint class of a service; all endpoints of a service belong to one class. */
    private static EndpointClassId endpointClassOf(TrafficService service) {
        return new EndpointClassId(service.id().value());
    }
}
