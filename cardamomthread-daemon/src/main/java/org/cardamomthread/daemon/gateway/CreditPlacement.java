package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.membership.gateway.AvailableEndpoint;
import org.cardamomthread.membership.gateway.CreditHold;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.policy.routing.EndpointCandidate;
import org.cardamomthread.policy.routing.EndpointSelector;
import org.cardamomthread.policy.routing.Selection;
import org.cardamomthread.policy.routing.SelectionRequest;

/**
 * Places attempts on endpoints for which this gateway holds a leased credit.
 *
 * <p>Invariants: no attempt is placed without a credit; each wait ends once, with an endpoint, a
 * refusal or a cancel. Attempts wait in order of arrival, retries first. Safe for use by several
 * threads; listeners run outside the lock.
 */
final class CreditPlacement implements Placement {

    private static final int MAX_WAITING = 10_000;
    private static final int MAX_REFUSED_SCANS = 8;
    private static final int MAX_DEMANDED_ENDPOINTS = 3;
    private static final long RETRY_AFTER_S = 1;

    private final CreditPool pool;
    private final CandidateReader candidates;
    private final EndpointSelector selector;
    private final SelectionRequestFactory requests;
    private final VersionRouter versions;
    private final PlacementObserver observer;
    private final AttemptObserver attempts;
    private final RandomGenerator random;
    private final TimeSource timeSource;
    private final LinkedList<Waiting> waiting = new LinkedList<>();

    CreditPlacement(
            CreditPool pool,
            CandidateReader candidates,
            EndpointSelector selector,
            SelectionRequestFactory requests,
            VersionRouter versions,
            PlacementObserver observer,
            AttemptObserver attempts,
            RandomGenerator random,
            TimeSource timeSource) {
        this.pool = pool;
        this.candidates = candidates;
        this.selector = selector;
        this.requests = requests;
        this.versions = versions;
        this.observer = observer;
        this.attempts = attempts;
        this.random = random;
        this.timeSource = timeSource;
    }

    @Override
    public PlacementTicket place(PlacementRequest request, PlacementListener listener) {
        long deadlineMs = timeSource.monotonicMs() + request.target().traffic().maxWaitMs();
        Waiting entry = new Waiting(request, listener, deadlineMs);
        Optional<PlacedCall> placed;
        boolean isFull = false;
        synchronized (this) {
            placed = tryPlace(request);
            if (placed.isEmpty()) {
                isFull = waiting.size() >= MAX_WAITING;
                enqueue(entry, isFull);
            }
        }
        if (placed.isPresent()) {
            listener.onPlaced(placed.get());
        } else if (isFull) {
            listener.onRefused(createQueueFullProblem(request));
        }
        return () -> remove(entry);
    }

    /** Gives credits that have come to those who wait, and refuses those whose time is over. */
    void pump() {
        List<Runnable> results = new ArrayList<>();
        synchronized (this) {
            long nowMs = timeSource.monotonicMs();
            int refusedScans = 0;
            Iterator<Waiting> entries = waiting.iterator();
            while (entries.hasNext()) {
                Waiting entry = entries.next();
                if (nowMs >= entry.deadlineMs()) {
                    entries.remove();
                    results.add(
                            () ->
                                    entry.listener()
                                            .onRefused(createTimeoutProblem(entry.request())));
                } else if (refusedScans < MAX_REFUSED_SCANS) {
                    Optional<PlacedCall> placed = tryPlace(entry.request());
                    if (placed.isPresent()) {
                        entries.remove();
                        results.add(() -> entry.listener().onPlaced(placed.get()));
                    } else {
                        refusedScans++;
                    }
                }
            }
        }
        results.forEach(Runnable::run);
    }

    /** Returns the number of attempts that wait for a credit. */
    synchronized int getWaitingCount() {
        return waiting.size();
    }

    private void enqueue(Waiting entry, boolean isFull) {
        if (isFull) {
            return;
        }
        if (entry.request().isRetry()) {
            waiting.addFirst(entry);
        } else {
            waiting.addLast(entry);
        }
    }

    private synchronized void remove(Waiting entry) {
        waiting.remove(entry);
    }

    private Optional<PlacedCall> tryPlace(PlacementRequest request) {
        VersionId version = versions.choose(request.target().service(), random);
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
                    .forEach(candidate -> pool.tryAcquire(candidate.id()));
            return Optional.empty();
        }
        EndpointCandidate candidate = chosen.chosen().get();
        AvailableEndpoint endpoint = read.endpoints().get(candidate.id());
        return pool.tryAcquire(candidate.id())
                .map(hold -> createPlacedCall(request, endpoint, version, hold));
    }

    private PlacedCall createPlacedCall(
            PlacementRequest request,
            AvailableEndpoint endpoint,
            VersionId version,
            CreditHold hold) {
        return new CreditPlacedCall(
                request.target(), endpoint, version, hold, attempts, this::pump);
    }

    private static Problem createQueueFullProblem(PlacementRequest request) {
        return Problem.createNotRun(
                        503,
                        "queue-full",
                        "Too many requests wait",
                        String.format(
                                "%d requests wait for an endpoint of service \"%s\": send it again"
                                        + " later",
                                MAX_WAITING, request.target().service()))
                .withRetryAfterS(RETRY_AFTER_S);
    }

    private static Problem createTimeoutProblem(PlacementRequest request) {
        return Problem.createNotRun(
                        503,
                        "no-endpoint",
                        "No endpoint available",
                        String.format(
                                "no endpoint of service \"%s\" took the request within %d ms: send"
                                        + " it again later, or start more endpoints",
                                request.target().service(), request.target().traffic().maxWaitMs()))
                .withRetryAfterS(RETRY_AFTER_S);
    }

    /** Holds one attempt that waits. */
    private record Waiting(PlacementRequest request, PlacementListener listener, long deadlineMs) {}
}
