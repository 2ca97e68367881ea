package org.cardamomthread.daemon.gateway;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.execution.ExecutionStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a call that may be repeated: finds an endpoint, sends one attempt, and tries another
 * endpoint after a failure while attempts, time and the retry budget last.
 *
 * <p>Invariants: at most one attempt is in progress; its permission is released exactly once,
 * before the next attempt is placed. Events come from several threads and are ordered by this
 * object's lock.
 */
abstract class AbstractRepeatableCall implements PlacementListener {

    private static final Logger LOGGER = LoggerFactory.getLogger(AbstractRepeatableCall.class);
    private static final int MAX_ATTEMPTS = 5;
    private static final long CALL_TIMEOUT_MS = 120_000;

    private final CallScope scope;
    private final CallServices services;
    private final Set<EndpointId> failedEndpoints = new HashSet<>();
    private PlacementTicket ticket;
    private EndpointAttempt attempt;
    private PlacedCall placed;
    private int attempts;
    private boolean ended;

    AbstractRepeatableCall(CallScope scope, CallServices services) {
        this.scope = scope;
        this.services = services;
    }

    /** Begins the call. */
    final void start() {
        scope.getExchange().onDisconnect(this::cancel);
        placeNext();
    }

    @Override
    public final void onPlaced(PlacedCall chosen) {
        synchronized (this) {
            if (ended) {
                chosen.release(AttemptReport.ABANDONED);
                return;
            }
            placed = chosen;
            attempts++;
            EndpointResponseListener listener = createListener(chosen);
            EndpointAttempt started =
                    services.runner().start(scope, chosen, getTarget(), createBody(), listener);
            if (placed == chosen) {
                attempt = started;
            }
        }
    }

    @Override
    public final void onRefused(Problem problem) {
        synchronized (this) {
            if (!ended) {
                ended = true;
                doGiveUp(problem);
            }
        }
    }

    /** Describes what the next attempt needs. */
    protected abstract PlacementRequest createPlacementRequest(Set<EndpointId> excluded);

    /** Receives the answer of an attempt and ends it by one of the methods below. */
    protected abstract EndpointResponseListener createListener(PlacedCall chosen);

    /** Returns the path and query of an attempt. */
    protected abstract String getTarget();

    /** Returns the body of an attempt. */
    protected abstract byte[] createBody();

    /** Tells the caller that no attempt succeeded. */
    protected abstract void doGiveUp(Problem problem);

    protected final CallScope getScope() {
        return scope;
    }

    protected final CallServices getServices() {
        return services;
    }

    protected final boolean isRetry() {
        return attempts > 0;
    }

    /** Ends the call after a whole answer has gone to the caller. */
    protected final synchronized void succeed(AttemptReport report) {
        releaseAttempt(report);
        ended = true;
        services.retryPolicy().recordSuccess(scope.getTarget().service());
    }

    /** Tries another endpoint, or gives up. */
    protected final void retryAfter(EndpointFailureException failure, AttemptReport report) {
        synchronized (this) {
            if (ended) {
                return;
            }
            failedEndpoints.add(placed.getEndpoint());
            LOGGER.atInfo()
                    .addKeyValue("requestId", scope.getRequestId())
                    .addKeyValue("traceId", scope.getSpan().getSpanContext().getTraceId())
                    .addKeyValue("endpoint", placed.getEndpoint())
                    .addKeyValue("attempt", attempts)
                    .log("attempt failed: {}", failure.getMessage());
            boolean wasTrial = placed.isTrial();
            releaseAttempt(report);
            if (!mayRetry(wasTrial)) {
                ended = true;
                doGiveUp(createProblem(failure));
                return;
            }
        }
        placeNext();
    }

    /** Closes the attempt's connection, then tries another endpoint or gives up. */
    protected final void cancelAttemptAfter(
            EndpointFailureException failure, AttemptReport report) {
        EndpointAttempt running;
        synchronized (this) {
            running = attempt;
        }
        if (running != null) {
            running.cancel();
        }
        retryAfter(failure, report);
    }

    private void placeNext() {
        PlacementTicket waiting =
                services.placement()
                        .place(createPlacementRequest(Set.copyOf(failedEndpoints)), this);
        synchronized (this) {
            ticket = waiting;
            if (ended) {
                waiting.cancel();
            }
        }
    }

    private void cancel() {
        EndpointAttempt running;
        synchronized (this) {
            if (ended) {
                return;
            }
            ended = true;
            running = attempt;
            if (ticket != null) {
                ticket.cancel();
            }
            releaseAttempt(AttemptReport.ABANDONED);
        }
        if (running != null) {
            running.cancel();
        }
        scope.end(CallOutcome.CANCELLED, "the caller closed the connection");
    }

    /**
     * Decides on a further attempt. One that leaves a version on trial is not drawn from the retry
     * budget: it goes to the old version, and the share of the move bounds how many there are.
     */
    private boolean mayRetry(boolean wasTrial) {
        return attempts < MAX_ATTEMPTS
                && scope.getElapsedMs() < CALL_TIMEOUT_MS
                && (wasTrial || services.retryPolicy().tryRetry(scope.getTarget().service()));
    }

    private void releaseAttempt(AttemptReport report) {
        if (placed != null) {
            scope.countAttempt(report.result());
            placed.release(report);
            placed = null;
            attempt = null;
        }
    }

    private Problem createProblem(EndpointFailureException failure) {
        ExecutionStatus execution =
                failure.isCertainlyNotRun() && attempts == 1
                        ? ExecutionStatus.NOT_RUN
                        : ExecutionStatus.UNKNOWN;
        return new Problem(
                502,
                "endpoints-failed",
                "Endpoints failed",
                String.format(
                        "%d attempts failed, the last because %s; the call may be sent again",
                        attempts, failure.getMessage()),
                execution,
                OptionalLong.of(1));
    }
}
