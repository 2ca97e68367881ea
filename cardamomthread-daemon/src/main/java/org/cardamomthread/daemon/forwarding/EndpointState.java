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
    private static final long LOAD_VALID_MS = 1_500;

    /** First pause after a failed connection; doubled by each further failure. */
    private static final long FIRST_AVOIDANCE_MS = 250;

    private static final long LONGEST_AVOIDANCE_MS = 4_000;

    /** Weight of the latest answer in the share of failures: about the last ten count. */
    private static final double RESULT_WEIGHT = 0.1;

    /** Answers from which the share of failures is trusted. */
    private static final int MIN_RESULTS = 6;

    /** Share of failures, beyond the usual one of the service, at which others are preferred. */
    private static final double EXCESSIVE_FAILURES = 0.2;

    /** Time after which an endpoint that failed too often is tried again. */
    private static final long FAILING_PAUSE_MS = 2_000;

    private ViewedEndpoint endpoint;
    private TokenBucket coldShare;
    private int inFlight;
    private int startedSinceReport;
    private LoadReport load;
    private long loadMs;
    private long avoidUntilMs;
    private int failures;
    private double failureShare;
    private int results;

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

    void begin() {
        inFlight++;
        startedSinceReport++;
    }

    void end() {
        inFlight--;
    }

    void reportLoad(LoadReport report, long nowMs) {
        load = report;
        loadMs = nowMs;
        startedSinceReport = 0;
    }

    /** Takes the result of a request in; one that the endpoint failed counts as a failure. */
    void recordResult(boolean isFailure, double usualShare, long nowMs) {
        failures = 0;
        results++;
        failureShare += RESULT_WEIGHT * ((isFailure ? 1 : 0) - failureShare);
        if (results >= MIN_RESULTS && failureShare > usualShare + EXCESSIVE_FAILURES) {
            avoidUntilMs = nowMs + FAILING_PAUSE_MS;
            results = 0;
            failureShare = usualShare;
        }
    }

    double failureShare() {
        return failureShare;
    }

    void fail(long nowMs) {
        long pauseMs = FIRST_AVOIDANCE_MS << Math.min(failures, 4);
        failures++;
        avoidUntilMs = nowMs + Math.min(LONGEST_AVOIDANCE_MS, pauseMs);
    }

    boolean isAvoided(long nowMs) {
        return nowMs < avoidUntilMs;
    }

    boolean isCold(long nowMs) {
        return nowMs < endpoint.coldUntilMs();
    }

    void becomeCold(long untilMs) {
        endpoint = new ViewedEndpoint(endpoint.report(), Math.max(endpoint.coldUntilMs(), untilMs));
    }

    /** Takes one request of this gateway's share of what a cold endpoint bears. */
    boolean tryTakeCold(double ratePerS, long nowMs) {
        if (coldShare == null) {
            coldShare = new TokenBucket(ratePerS, 1, 0, nowMs);
        }
        coldShare.resize(ratePerS, 1, nowMs);
        return coldShare.tryTake(1, nowMs);
    }

    /** Estimates the requests that the endpoint holds, of all gateways. */
    double estimateLoad(int gateways, long nowMs) {
        double scaled = (double) inFlight * Math.max(1, gateways);
        if (load == null || nowMs - loadMs > LOAD_VALID_MS) {
            return scaled;
        }
        return Math.max(inFlight, load.running() + load.waiting() + startedSinceReport);
    }

    int slots() {
        return Math.max(1, endpoint.report().slots());
    }
}
