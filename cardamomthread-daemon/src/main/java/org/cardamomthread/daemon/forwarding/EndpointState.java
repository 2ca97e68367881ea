package org.cardamomthread.daemon.forwarding;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.LoadReport;
import org.cardamomthread.daemon.view.ViewedEndpoint;
import org.cardamomthread.policy.admission.TokenBucket;

/**
 * Holds what this gateway has seen of one start of an endpoint. Used by one thread at a time.
 *
 * <p>Load is estimated as the endpoint's last own figure plus what was sent from here since, and
 * falls back to this gateway's own requests scaled by the number of gateways when that figure is
 * old.
 */
final class EndpointState {

    /** Age at which a load figure says less than the own requests. */
    private static final long LOAD_REPORT_TTL_MS = 1_500;

    /** First pause after a failed connection; doubled by each further failure. */
    private static final long INITIAL_BACKOFF_MS = 250;

    private static final long MAX_BACKOFF_MS = 4_000;

    /** Weight of the latest answer in the share of failures: about the last ten count. */
    private static final double FAILURE_RATE_SMOOTHING = 0.1;

    /** Answers from which the share of failures is trusted. */
    private static final int MIN_RESULTS_FOR_EJECTION = 6;

    /** Share of failures, beyond the usual one of the service, at which others are preferred. */
    private static final double MAX_EXCESS_FAILURE_RATE = 0.2;

    /** Time after which an endpoint that failed too often is tried again. */
    private static final long OUTLIER_EJECTION_MS = 2_000;

    private ViewedEndpoint endpoint;
    private TokenBucket coldPermits;
    private int inFlight;
    private int startedSinceLoadReport;
    private LoadReport lastLoad;
    private long lastLoadMs;
    private long backoffUntilMs;
    private int consecutiveConnectionFailures;
    private double failureRate;
    private int resultsSinceEjection;

    EndpointState(ViewedEndpoint endpoint) {
        this.endpoint = endpoint;
    }

    ViewedEndpoint endpoint() {
        return endpoint;
    }

    EndpointId id() {
        return endpoint.report().id();
    }

    void update(ViewedEndpoint newEndpoint) {
        endpoint = newEndpoint;
    }

    void recordStart() {
        inFlight++;
        startedSinceLoadReport++;
    }

    void recordEnd() {
        inFlight--;
    }

    void updateLoad(LoadReport report, long nowMs) {
        lastLoad = report;
        lastLoadMs = nowMs;
        startedSinceLoadReport = 0;
    }

    /** Takes the result of a request in; one that the endpoint failed counts as a failure. */
    void recordResult(boolean isFailure, double usualShare, long nowMs) {
        consecutiveConnectionFailures = 0;
        resultsSinceEjection++;
        failureRate += FAILURE_RATE_SMOOTHING * ((isFailure ? 1 : 0) - failureRate);
        if (resultsSinceEjection >= MIN_RESULTS_FOR_EJECTION
                && failureRate > usualShare + MAX_EXCESS_FAILURE_RATE) {
            backoffUntilMs = nowMs + OUTLIER_EJECTION_MS;
            resultsSinceEjection = 0;
            failureRate = usualShare;
        }
    }

    double failureRate() {
        return failureRate;
    }

    void recordConnectionFailure(long nowMs) {
        long pauseMs = INITIAL_BACKOFF_MS << Math.min(consecutiveConnectionFailures, 4);
        consecutiveConnectionFailures++;
        backoffUntilMs = nowMs + Math.min(MAX_BACKOFF_MS, pauseMs);
    }

    boolean isInBackoff(long nowMs) {
        return nowMs < backoffUntilMs;
    }

    boolean isCold(long nowMs) {
        return nowMs < endpoint.coldUntilMs();
    }

    void extendCold(long untilMs) {
        endpoint = new ViewedEndpoint(endpoint.report(), Math.max(endpoint.coldUntilMs(), untilMs));
    }

    /** Takes one request of this gateway's share of what a cold endpoint bears. */
    boolean tryTakeColdPermit(double ratePerS, long nowMs) {
        if (coldPermits == null) {
            coldPermits = new TokenBucket(ratePerS, 1, 0, nowMs);
        }
        coldPermits.resize(ratePerS, 1, nowMs);
        return coldPermits.tryTake(1, nowMs);
    }

    /** Estimates the requests that the endpoint holds, of all gateways. */
    double estimateLoad(int gateways, long nowMs) {
        double scaled = (double) inFlight * Math.max(1, gateways);
        if (lastLoad == null || nowMs - lastLoadMs > LOAD_REPORT_TTL_MS) {
            return scaled;
        }
        return Math.max(inFlight, lastLoad.running() + lastLoad.waiting() + startedSinceLoadReport);
    }

    int slots() {
        return Math.max(1, endpoint.report().slots());
    }
}
