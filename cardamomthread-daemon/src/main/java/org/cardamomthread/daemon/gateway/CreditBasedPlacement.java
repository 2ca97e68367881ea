package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
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
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.membership.gateway.CreditPermit;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.policy.admission.QueuedRequest;
import org.cardamomthread.policy.profile.Priority;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointSelector;
import org.cardamomthread.policy.routing.PrefixIndex;
import org.cardamomthread.policy.routing.Selection;
import org.cardamomthread.policy.routing.SelectionRequest;

/**
 * Reserves endpoints for which this gateway holds a leased credit.
 *
 * <p>Invariants: no attempt is placed without a credit; each placement ends exactly once, with a
 * reservation, a refusal or a cancellation. Attempts wait in one fair queue per service.
 * Thread-safe; listeners run outside the lock.
 */
final class CreditBasedPlacement implements Placement {

    private static final int MAX_REFUSALS_PER_ATTEMPT = 3;
    private static final long RETRY_AFTER_S = 1;
    private static final long MS_PER_S = 1_000;

    private final CreditPool pool;
    private final CandidateProvider candidates;
    private final EndpointSelector selector;
    private final SelectionRequestFactory selectionRequests;
    private final VersionRouter versionRouter;
    private final PrefixIndex prefixIndex;
    private final PlacementObserver placementObserver;
    private final AttemptObserver attemptObserver;
    private final RandomGenerator random;
    private final TimeSource timeSource;
    private final ToDoubleFunction<ClientAccountId> weights;
    private final Map<ServiceId, ServiceQueue> queues = new HashMap<>();
    private long lastSequenceNumber;

    CreditBasedPlacement(
            CreditPool pool,
            CandidateProvider candidates,
            EndpointSelector selector,
            SelectionRequestFactory selectionRequests,
            VersionRouter versionRouter,
            PrefixIndex prefixIndex,
            PlacementObserver placementObserver,
            AttemptObserver attemptObserver,
            RandomGenerator random,
            TimeSource timeSource,
            ToDoubleFunction<ClientAccountId> weights) {
        this.pool = pool;
        this.candidates = candidates;
        this.selector = selector;
        this.selectionRequests = selectionRequests;
        this.versionRouter = versionRouter;
        this.prefixIndex = prefixIndex;
        this.placementObserver = placementObserver;
        this.attemptObserver = attemptObserver;
        this.random = random;
        this.timeSource = timeSource;
        this.weights = weights;
    }

    @Override
    public PendingPlacement place(PlacementRequest request, PlacementListener listener) {
        long nowMs = timeSource.monotonicMs();
        QueuedAttempt attempt;
        Optional<EndpointReservation> placed;
        OptionalLong pauseMs = OptionalLong.empty();
        List<QueuedAttempt> refused = List.of();
        synchronized (this) {
            attempt = createQueuedAttempt(request, listener, nowMs);
            ServiceQueue queue = getOrCreateQueue(request.target().service());
            placed = queue.size() == 0 ? tryPlace(request) : Optional.empty();
            if (placed.isEmpty()) {
                pauseMs = pauseBeyondMaxWaitMs(request);
            }
            if (placed.isEmpty() && pauseMs.isEmpty()) {
                refused = queue.offer(attempt, nowMs);
            }
        }
        placed.ifPresent(listener::onPlaced);
        pauseMs.ifPresent(waitMs -> refuseHeldBack(attempt, waitMs));
        refused.forEach(CreditBasedPlacement::refuseQueueFull);
        return () -> remove(attempt);
    }

    /**
     * Places queued attempts for which a credit has arrived and refuses those that waited too long.
     */
    void processQueues() {
        List<Runnable> results = new ArrayList<>();
        synchronized (this) {
            long nowMs = timeSource.monotonicMs();
            for (ServiceQueue queue : queues.values()) {
                queue.expire(nowMs).forEach(expired -> results.add(() -> refuseTimedOut(expired)));
                placeQueued(queue, results);
            }
            queues.values().removeIf(queue -> queue.size() == 0);
        }
        results.forEach(Runnable::run);
    }

    /** Returns the number of attempts that wait for a credit. */
    synchronized int getWaitingCount() {
        return queues.values().stream().mapToInt(ServiceQueue::size).sum();
    }

    private void placeQueued(ServiceQueue queue, List<Runnable> results) {
        Optional<QueuedAttempt> next = queue.peek();
        while (next.isPresent()) {
            QueuedAttempt attempt = next.get();
            Optional<EndpointReservation> placed = tryPlace(attempt.request());
            if (placed.isEmpty()) {
                return;
            }
            queue.removeFirst();
            results.add(() -> attempt.listener().onPlaced(placed.get()));
            next = queue.peek();
        }
    }

    private QueuedAttempt createQueuedAttempt(
            PlacementRequest request, PlacementListener listener, long nowMs) {
        String sequencedId = request.requestId() + ":" + (++lastSequenceNumber);
        String id =
                sequencedId.substring(Math.max(0, sequencedId.length() - Identifiers.MAX_LENGTH));
        Priority priority =
                request.target().traffic().isUrgent() ? Priority.URGENT : Priority.PATIENT;
        double cost = 1.0 + request.promptTokens() + request.outputTokens();
        long latestStartMs = nowMs + request.target().traffic().maxWaitMs();
        QueuedRequest queueEntry =
                new QueuedRequest(
                        new RequestId(id), request.account(), priority, cost, latestStartMs);
        return new QueuedAttempt(request, listener, queueEntry);
    }

    private ServiceQueue getOrCreateQueue(ServiceId service) {
        return queues.computeIfAbsent(service, id -> new ServiceQueue(weights));
    }

    private synchronized void remove(QueuedAttempt attempt) {
        ServiceQueue queue = queues.get(attempt.request().target().service());
        if (queue != null) {
            queue.remove(attempt);
        }
    }

    private Optional<EndpointReservation> tryPlace(PlacementRequest request) {
        VersionId version =
                versionRouter.selectVersion(request.target(), request.isRetry(), random);
        Set<EndpointId> excluded = request.excluded();
        Optional<EndpointReservation> placed = tryPlace(request, version, excluded);
        if (placed.isEmpty() && !excluded.isEmpty()) {
            return tryPlace(request, version, Set.of());
        }
        return placed;
    }

    private Optional<EndpointReservation> tryPlace(
            PlacementRequest request, VersionId version, Set<EndpointId> excluded) {
        CandidateProvider.Candidates found = candidates.findCandidates(request, version);
        SelectionRequest selectionRequest = selectionRequests.create(request, version, excluded);
        Selection selection =
                selector.select(
                        selectionRequest, found.candidates(), timeSource.monotonicMs(), random);
        placementObserver.observe(request, selection);
        if (selection.selected().isEmpty()) {
            found.candidates().stream()
                    .filter(candidate -> !excluded.contains(candidate.id()))
                    .limit(MAX_REFUSALS_PER_ATTEMPT)
                    .forEach(candidate -> pool.recordRefusal(candidate.id()));
            return Optional.empty();
        }
        EndpointCandidate candidate = selection.selected().get();
        EndpointSnapshot endpoint = found.endpoints().get(candidate.id());
        return pool.tryAcquire(candidate.id())
                .map(
                        permit ->
                                createReservation(
                                        request,
                                        endpoint,
                                        version,
                                        permit,
                                        selection,
                                        selectionRequest));
    }

    private EndpointReservation createReservation(
            PlacementRequest request,
            EndpointSnapshot endpoint,
            VersionId version,
            CreditPermit permit,
            Selection selection,
            SelectionRequest selectionRequest) {
        prefixIndex.recordSentPrompt(
                endpoint.endpoint(), selectionRequest.prefix(), timeSource.monotonicMs());
        long expectedFirstByteMs = (long) selection.score().orElseThrow().firstTokenMs();
        boolean isCanary =
                !version.equals(versionRouter.selectVersion(request.target(), true, random));
        return new CreditReservation(
                request.target(),
                endpoint,
                version,
                isCanary,
                permit,
                expectedFirstByteMs,
                this::onReleased);
    }

    /** Reports an attempt whose credit was released, then offers the credit to queued attempts. */
    private void onReleased(CreditReservation reservation, AttemptReport report) {
        if (report.isConnectionFailed()) {
            pool.discardUnusedCredits(reservation.getEndpoint());
        }
        attemptObserver.onAttemptEnded(
                reservation.getTarget(),
                reservation.getEndpointSnapshot(),
                reservation.getVersion(),
                report);
        processQueues();
    }

    private static void refuseQueueFull(QueuedAttempt attempt) {
        attempt.listener()
                .onRefused(
                        ProblemDetail.createNotRun(
                                        503,
                                        "queue-full",
                                        "Too many requests wait",
                                        String.format(
                                                "the queue of service \"%s\" is full and client"
                                                        + " account \"%s\" already uses its fair"
                                                        + " share: retry later",
                                                attempt.request().target().service(),
                                                attempt.request().account()))
                                .withRetryAfterS(RETRY_AFTER_S));
    }

    /**
     * Returns the time until an endpoint may be sent requests again, if it is longer than the
     * request may wait: it cannot be served, and is refused instead of queued.
     */
    private OptionalLong pauseBeyondMaxWaitMs(PlacementRequest request) {
        VersionId version =
                versionRouter.selectVersion(request.target(), request.isRetry(), random);
        OptionalLong pauseMs = candidates.pauseMs(request, version);
        return pauseMs.orElse(0) > request.target().traffic().maxWaitMs()
                ? pauseMs
                : OptionalLong.empty();
    }

    private static void refuseHeldBack(QueuedAttempt attempt, long pauseMs) {
        attempt.listener()
                .onRefused(
                        ProblemDetail.createNotRun(
                                        503,
                                        "endpoints-held-back",
                                        "Endpoints want a pause",
                                        String.format(
                                                "all endpoints of service \"%s\" have rejected"
                                                        + " requests and asked for a pause of %d ms"
                                                        + " more: retry after it",
                                                attempt.request().target().service(), pauseMs))
                                .withRetryAfterS((pauseMs + MS_PER_S - 1) / MS_PER_S));
    }

    private static void refuseTimedOut(QueuedAttempt attempt) {
        CallTarget target = attempt.request().target();
        attempt.listener()
                .onRefused(
                        ProblemDetail.createNotRun(
                                        503,
                                        "no-endpoint",
                                        "No endpoint available",
                                        String.format(
                                                "no endpoint of service \"%s\" accepted the"
                                                        + " request within %d ms: retry later, or"
                                                        + " start more endpoints",
                                                target.service(), target.traffic().maxWaitMs()))
                                .withRetryAfterS(RETRY_AFTER_S));
    }
}
