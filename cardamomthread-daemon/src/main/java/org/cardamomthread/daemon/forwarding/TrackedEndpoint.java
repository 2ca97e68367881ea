package org.cardamomthread.daemon.forwarding;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.LoadReport;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.cardamomthread.policy.admission.TokenBucket;
import org.cardamomthread.policy.availability.EndpointAvailability.Incarnation;
import org.cardamomthread.policy.placement.EndpointLoad;
import org.cardamomthread.policy.placement.ServicePace.Candidate;

/**
 * Holds what this gateway has observed of one incarnation of an endpoint. Not thread-safe.
 *
 * <p>{@link #load()} holds what placement by expected times needs. The load estimate is the
 * endpoint's last reported load plus the requests sent from here since. If that report is stale, it
 * is this gateway's requests in flight times the number of gateways.
 */
final class TrackedEndpoint implements Candidate {

    /**
     * Age beyond which a load report is less accurate than the estimate from this gateway's own
     * requests.
     */
    private static final long LOAD_REPORT_TTL_MS = 1_500;

    /** Backoff after a connection failure; doubled with each consecutive one. */
    private static final long INITIAL_BACKOFF_MS = 250;

    private static final long MAX_BACKOFF_MS = 4_000;

    /**
     * Weight of the latest result in the failure rate, which thus covers about the last ten
     * results.
     */
    private static final double FAILURE_RATE_SMOOTHING = 0.1;

    /** Minimum number of results for the failure rate to be meaningful. */
    private static final int MIN_RESULTS_FOR_EJECTION = 6;

    /** Excess over the service's median failure rate above which the endpoint is ejected. */
    private static final double MAX_EXCESS_FAILURE_RATE = 0.2;

    /** Time for which an ejected endpoint is avoided before it is tried again. */
    private static final long OUTLIER_EJECTION_MS = 2_000;

    /**
     * Time for which an endpoint that has refused a request is taken for full, unless it reports
     * its load again: about the duration of a short request.
     */
    private static final long REFUSAL_TTL_MS = 300;

    /** Requests per slot from which on an endpoint has no room for another one. */
    private static final double FULL_LOAD_FACTOR = 1.1;

    private final EndpointLoad load;
    private final Incarnation incarnation;
    private KnownEndpoint knownEndpoint;
    private TokenBucket coldPermits;
    private int endedSinceLoadReport;
    private LoadReport lastLoad;
    private long lastLoadMs;
    private long backoffUntilMs;
    private int consecutiveConnectionFailures;
    private double failureRate;
    private int resultsSinceEjection;
    private long refusedMs = Long.MIN_VALUE;

    TrackedEndpoint(KnownEndpoint knownEndpoint) {
        this.knownEndpoint = knownEndpoint;
        load = new EndpointLoad(knownEndpoint.report().id());
        incarnation =
                new Incarnation(knownEndpoint.report().id(), knownEndpoint.report().startTimeMs());
    }

    @Override
    public EndpointLoad load() {
        return load;
    }

    KnownEndpoint knownEndpoint() {
        return knownEndpoint;
    }

    EndpointId id() {
        return knownEndpoint.report().id();
    }

    void update(KnownEndpoint newEndpoint) {
        knownEndpoint = newEndpoint;
    }

    void recordStart() {
        load.recordStart();
    }

    void recordEnd() {
        load.recordEnd();
        endedSinceLoadReport++;
    }

    void updateLoad(LoadReport report, long nowMs) {
        lastLoad = report;
        lastLoadMs = nowMs;
        long requests = (long) report.running() + report.waiting();
        load.recordReport(
                (int) Math.min(Integer.MAX_VALUE, requests), report.workTimePercent(), nowMs);
        endedSinceLoadReport = 0;
    }

    /**
     * Records the result of a request and ejects the endpoint if its failure rate exceeds the
     * service's median by too much.
     */
    void recordResult(boolean isFailure, double medianRate, long nowMs) {
        consecutiveConnectionFailures = 0;
        resultsSinceEjection++;
        failureRate += FAILURE_RATE_SMOOTHING * ((isFailure ? 1 : 0) - failureRate);
        if (resultsSinceEjection >= MIN_RESULTS_FOR_EJECTION
                && failureRate > medianRate + MAX_EXCESS_FAILURE_RATE) {
            backoffUntilMs = nowMs + OUTLIER_EJECTION_MS;
            resultsSinceEjection = 0;
            failureRate = medianRate;
        }
    }

    double failureRate() {
        return failureRate;
    }

    void recordConnectionFailure(long nowMs) {
        long backoffMs = INITIAL_BACKOFF_MS << Math.min(consecutiveConnectionFailures, 4);
        consecutiveConnectionFailures++;
        backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, backoffMs);
    }

    boolean isInBackoff(long nowMs) {
        return nowMs < backoffUntilMs;
    }

    boolean isCold(long nowMs) {
        return nowMs < knownEndpoint.coldUntilMs();
    }

    void extendCold(long untilMs) {
        knownEndpoint =
                new KnownEndpoint(
                        knownEndpoint.report(), Math.max(knownEndpoint.coldUntilMs(), untilMs));
    }

    /**
     * Takes a permit from this gateway's share of the request rate that a cold endpoint can handle.
     */
    boolean tryAcquireColdPermit(double ratePerS, long nowMs) {
        if (coldPermits == null) {
            coldPermits = new TokenBucket(ratePerS, 1, 0, nowMs);
        }
        coldPermits.resize(ratePerS, 1, nowMs);
        return coldPermits.tryConsume(1, nowMs);
    }

    /** Estimates the number of requests at the endpoint from all gateways. */
    double estimateLoad(int gatewayCount, long nowMs) {
        double scaledInFlight = (double) load.inFlight() * Math.max(1, gatewayCount);
        if (lastLoad == null || nowMs - lastLoadMs > LOAD_REPORT_TTL_MS) {
            return scaledInFlight;
        }
        return Math.max(
                load.inFlight(),
                lastLoad.running() + lastLoad.waiting() + load.startedSinceReport());
    }

    @Override
    public int slots() {
        return Math.max(1, knownEndpoint.report().slots());
    }

    Incarnation incarnation() {
        return incarnation;
    }

    /** Records that the endpoint has refused a request without running it. */
    void recordRefusal(long nowMs) {
        refusedMs = nowMs;
    }

    /**
     * Returns whether the endpoint has refused a request since its last report, or has a tenth more
     * requests than slots by a report that is not stale and by the requests from here that began
     * and ended since.
     */
    boolean isKnownFull(long nowMs) {
        if (refusedMs != Long.MIN_VALUE && nowMs - refusedMs < REFUSAL_TTL_MS) {
            boolean isReportNewer = lastLoad != null && lastLoadMs > refusedMs;
            if (!isReportNewer) {
                return true;
            }
        }
        if (lastLoad == null || nowMs - lastLoadMs > LOAD_REPORT_TTL_MS) {
            return false;
        }
        int changeSinceReport = load.startedSinceReport() - endedSinceLoadReport;
        int requests =
                Math.max(
                        load.inFlight(),
                        lastLoad.running() + lastLoad.waiting() + changeSinceReport);
        return requests >= FULL_LOAD_FACTOR * Math.max(1, lastLoad.slots());
    }

    /** Returns whether {@link #tryAcquireColdPermit} would succeed. */
    boolean hasColdPermit(double ratePerS, long nowMs) {
        if (coldPermits == null) {
            coldPermits = new TokenBucket(ratePerS, 1, 0, nowMs);
        }
        coldPermits.resize(ratePerS, 1, nowMs);
        return coldPermits.availableTokens(nowMs) >= 1;
    }
}
