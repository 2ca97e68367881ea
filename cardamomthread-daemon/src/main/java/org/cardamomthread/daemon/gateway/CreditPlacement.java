package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.membership.gateway.AvailableEndpoint;
import org.cardamomthread.membership.gateway.CreditHold;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.policy.admission.QueuedRequest;
import org.cardamomthread.policy.profile.Priority;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointSelector;
import org.cardamomthread.policy.routing.PrefixIndex;
import org.cardamomthread.policy.routing.Selection;
import org.cardamomthread.policy.routing.SelectionRequest;

/**
 * Places attempts on endpoints for which this gateway holds a leased credit.
 *
 * <p>Invariants: no attempt is placed without a credit; each wait ends once, with an endpoint, a
 * refusal or a cancel. Attempts wait in a fair queue a service. Safe for use by several threads;
 * listeners run outside the lock.
 */
final class CreditPlacement implements Placement {

    private static final int MAX_DEMANDED_ENDPOINTS = 3;
    private static final long RETRY_AFTER_S = 1;

    private final CreditPool pool;
    private final CandidateReader candidates;
    private final EndpointSelector selector;
    private final SelectionRequestFactory requests;
    private final VersionRouter versions;
    private final PrefixIndex prefixes;
    private final PlacementObserver observer;
    private final AttemptObserver attempts;
    private final RandomGenerator random;
    private final TimeSource timeSource;
    private final ToDoubleFunction<ClientAccountId> weights;
    private final Map<ServiceId, ServiceQueue> queues = new HashMap<>();
    private long lastPlace;

    CreditPlacement(
            CreditPool pool,
            CandidateReader candidates,
            EndpointSelector selector,
            SelectionRequestFactory requests,
            VersionRouter versions,
            PrefixIndex prefixes,
            PlacementObserver observer,
            AttemptObserver attempts,
            RandomGenerator random,
            TimeSource timeSource,
            ToDoubleFunction<ClientAccountId> weights) {
        this.pool = pool;
        this.candidates = candidates;
        this.selector = selector;
        this.requests = requests;
        this.versions = versions;
        this.prefixes = prefixes;
        this.observer = observer;
        this.attempts = attempts;
        this.random = random;
        this.timeSource = timeSource;
        this.weights = weights;
    }

    @Override
    public PlacementTicket place(PlacementRequest request, PlacementListener listener) {
        long nowMs = timeSource.monotonicMs();
        WaitingCall call;
        Optional<PlacedCall> placed;
        List<WaitingCall> refused = List.of();
        synchronized (this) {
            call = createWaitingCall(request, listener, nowMs);
            ServiceQueue queue = findQueue(request.target().service());
            placed = queue.size() == 0 ? tryPlace(request) : Optional.empty();
            if (placed.isEmpty()) {
                refused = queue.offer(call, nowMs);
            }
        }
        placed.ifPresent(listener::onPlaced);
        refused.forEach(CreditPlacement::refuseForQueue);
        return () -> remove(call);
    }

    /** Gives credits that have come to those who wait, and refuses those whose time is over. */
    void pump() {
        List<Runnable> results = new ArrayList<>();
        synchronized (this) {
            long nowMs = timeSource.monotonicMs();
            for (ServiceQueue queue : queues.values()) {
                queue.expire(nowMs).forEach(late -> results.add(() -> refuseForTime(late)));
                placeWaiting(queue, results);
            }
            queues.values().removeIf(queue -> queue.size() == 0);
        }
        results.forEach(Runnable::run);
    }

    /** Returns the number of attempts that wait for a credit. */
    synchronized int getWaitingCount() {
        return queues.values().stream().mapToInt(ServiceQueue::size).sum();
    }

    private void placeWaiting(ServiceQueue queue, List<Runnable> results) {
        Optional<WaitingCall> next = queue.peek();
        while (next.isPresent()) {
            WaitingCall call = next.get();
            Optional<PlacedCall> placed = tryPlace(call.request());
            if (placed.isEmpty()) {
                return;
            }
            queue.removeFirst();
            results.add(() -> call.listener().onPlaced(placed.get()));
            next = queue.peek();
        }
    }

    private WaitingCall createWaitingCall(
            PlacementRequest request, PlacementListener listener, long nowMs) {
        String place = request.requestId() + ":" + (++lastPlace);
        String id = place.substring(Math.max(0, place.length() - Identifiers.MAX_LENGTH));
        Priority priority =
                request.target().traffic().isUrgent() ? Priority.URGENT : Priority.PATIENT;
        double cost = 1.0 + request.promptTokens() + request.outputTokens();
        long latestStartMs = nowMs + request.target().traffic().maxWaitMs();
        QueuedRequest queued =
                new QueuedRequest(
                        new RequestId(id), request.account(), priority, cost, latestStartMs);
        return new WaitingCall(request, listener, queued);
    }

    private ServiceQueue findQueue(ServiceId service) {
        return queues.computeIfAbsent(service, id -> new ServiceQueue(weights));
    }

    private synchronized void remove(WaitingCall call) {
        ServiceQueue queue = queues.get(call.request().target().service());
        if (queue != null) {
            queue.remove(call);
        }
    }

    private Optional<PlacedCall> tryPlace(PlacementRequest request) {
        VersionId version = versions.choose(request.target(), request.isRetry(), random);
        Set<EndpointId> excluded = request.excluded();
        Optional<PlacedCall> placed = tryPlace(request, version, excluded);
        if (placed.isEmpty() && !excluded.isEmpty()) {
            return tryPlace(request, version, Set.of());
        }
        return placed;
    }

    private Optional<PlacedCall> tryPlace(
            PlacementRequest request, VersionId version, Set<EndpointId> excluded) {
        CandidateReader.Candidates read = candidates.read(request, version);
        SelectionRequest selection = requests.create(request, version, excluded);
        Selection chosen =
                selector.select(selection, read.list(), timeSource.monotonicMs(), random);
        observer.observe(request, chosen);
        if (chosen.chosen().isEmpty()) {
            read.list().stream()
                    .filter(candidate -> !excluded.contains(candidate.id()))
                    .limit(MAX_DEMANDED_ENDPOINTS)
                    .forEach(candidate -> pool.recordShortage(candidate.id()));
            return Optional.empty();
        }
        EndpointCandidate candidate = chosen.chosen().get();
        AvailableEndpoint endpoint = read.endpoints().get(candidate.id());
        return pool.tryAcquire(candidate.id())
                .map(hold -> createPlacedCall(request, endpoint, version, hold, chosen, selection));
    }

    private PlacedCall createPlacedCall(
            PlacementRequest request,
            AvailableEndpoint endpoint,
            VersionId version,
            CreditHold hold,
            Selection chosen,
            SelectionRequest selection) {
        prefixes.expect(endpoint.endpoint(), selection.prefix(), timeSource.monotonicMs());
        long expectedMs = (long) chosen.score().orElseThrow().firstTokenMs();
        boolean isTrial = !version.equals(versions.choose(request.target(), true, random));
        return new CreditPlacedCall(
                request.target(), endpoint, version, isTrial, hold, expectedMs, this::finish);
    }

    /** Records an attempt whose credit has just been given back, and uses the credit. */
    private void finish(CreditPlacedCall call, AttemptReport report) {
        if (report.isUnreached()) {
            pool.dropCredits(call.getEndpoint());
        }
        attempts.report(call.getTarget(), call.getAvailable(), call.getVersion(), report);
        pump();
    }

    private static void refuseForQueue(WaitingCall call) {
        call.listener()
                .onRefused(
                        Problem.createNotRun(
                                        503,
                                        "queue-full",
                                        "Too many requests wait",
                                        String.format(
                                                "the queue for service \"%s\" is full and client"
                                                        + " account \"%s\" has its share: send"
                                                        + " the request again later",
                                                call.request().target().service(),
                                                call.request().account()))
                                .withRetryAfterS(RETRY_AFTER_S));
    }

    private static void refuseForTime(WaitingCall call) {
        CallTarget target = call.request().target();
        call.listener()
                .onRefused(
                        Problem.createNotRun(
                                        503,
                                        "no-endpoint",
                                        "No endpoint available",
                                        String.format(
                                                "no endpoint of service \"%s\" took the request"
                                                        + " within %d ms: send it again later, or"
                                                        + " start more endpoints",
                                                target.service(), target.traffic().maxWaitMs()))
                                .withRetryAfterS(RETRY_AFTER_S));
    }
}
