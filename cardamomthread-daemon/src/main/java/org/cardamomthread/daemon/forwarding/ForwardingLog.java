package org.cardamomthread.daemon.forwarding;

import java.util.Collection;
import java.util.List;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.KnownEndpoint;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.policy.placement.PlacementDecision;
import org.cardamomthread.policy.quarantine.PromptPartKey;

/** Writes decisions on requests to the decision log, with the values on which they were based. */
final class ForwardingLog {

    private static final int MAX_LOGGED_PARTS = 8;

    private final DecisionLog log;
    private final ViewLease viewLease;

    ForwardingLog(DecisionLog log, ViewLease viewLease) {
        this.log = log;
        this.viewLease = viewLease;
    }

    void logRejection(RequestHead head, String reason, int status, long viewRevision) {
        log.log(
                "request-refused",
                "request",
                head.requestId(),
                "reason",
                reason,
                "status",
                status,
                "viewRevision",
                viewRevision,
                "viewAgeMs",
                viewLease.ageMs());
    }

    void logDrop(RequestHead head, long waitedMs) {
        log.log(
                "request-dropped",
                "request",
                head.requestId(),
                "reason",
                "client-left",
                "waitedMs",
                waitedMs);
    }

    void logQuotaRejection(
            RequestHead head, TrafficAccount account, double quotaAmount, long waitMs) {
        log.log(
                "quota-refused",
                "request",
                head.requestId(),
                "account",
                account.id(),
                "amount",
                quotaAmount,
                "ratePerS",
                account.ratePerS(),
                "waitMs",
                waitMs,
                "viewAgeMs",
                viewLease.ageMs());
    }

    void logViewChange(GatewayView view) {
        log.log(
                "view-changed",
                "revision",
                view.revision(),
                "documentVersion",
                view.routes().map(routes -> routes.document().version()).orElse(0L),
                "drained",
                view.drainedDataCentres(),
                "moves",
                view.versionMoves().size(),
                "endpoints",
                view.endpoints().size(),
                "gateways",
                view.gatewayCount());
    }

    void logEndpointChange(KnownEndpoint endpoint, boolean isOpen) {
        EndpointReport report = endpoint.report();
        log.log(
                isOpen ? "endpoint-opened" : "endpoint-closed",
                "endpoint",
                report.id(),
                "service",
                report.service(),
                "address",
                report.address(),
                "bornMs",
                report.startTimeMs(),
                "reportSequence",
                report.sequence(),
                "leaving",
                report.isDraining(),
                "viewAgeMs",
                viewLease.ageMs());
    }

    void logLeaving(AdmittedRequest request, KnownEndpoint endpoint, int status) {
        log.log(
                "endpoint-leaving",
                "endpoint",
                endpoint.report().id(),
                "service",
                endpoint.report().service(),
                "bornMs",
                endpoint.report().startTimeMs(),
                "request",
                request.head().requestId(),
                "status",
                status);
    }

    void logPause(AdmittedRequest request, EndpointId endpoint, long pauseMs) {
        log.log(
                "endpoint-held-back",
                "endpoint",
                endpoint,
                "service",
                request.service().id(),
                "request",
                request.head().requestId(),
                "pauseMs",
                pauseMs);
    }

    void logIgnoredRetryAfter(AdmittedRequest request, EndpointId endpoint, List<String> values) {
        log.log(
                "retry-after-ignored",
                "endpoint",
                endpoint,
                "request",
                request.head().requestId(),
                "values",
                values.stream().limit(MAX_LOGGED_PARTS).toList(),
                "reason",
                "the value is no number of seconds: have the endpoint send one");
    }

    /**
     * Logs the choice of an endpoint.
     *
     * @param decision the values on which it was based
     * @param bestLocal the best endpoint of the gateway's data centre, or null if there is none
     */
    void logPlacement(
            AdmittedRequest request,
            EndpointId endpoint,
            PlacementDecision decision,
            EndpointId bestLocal) {
        log.log(
                "request-placed",
                "request",
                request.head().requestId(),
                "service",
                request.service().id(),
                "endpoint",
                endpoint,
                "expectedMs",
                Math.round(decision.expectedMs()),
                "bestLocal",
                bestLocal == null ? "none" : bestLocal,
                "bestLocalMs",
                bestLocal == null ? "unknown" : Math.round(decision.bestLocalMs()),
                "reason",
                describe(decision.reason()));
    }

    private static String describe(PlacementDecision.Reason reason) {
        return switch (reason) {
            case OWN_DATA_CENTRE -> "own-data-centre";
            case FASTER_ELSEWHERE -> "faster-elsewhere";
            case PROBE_ELSEWHERE -> "probe-elsewhere";
            case NONE_IN_OWN_DATA_CENTRE -> "none-in-own-data-centre";
        };
    }

    /** Logs the end of a wait: the request was sent, refused for a reason, or ended otherwise. */
    void logWait(WaitingCall waiting, String result, long nowMs, long retryAfterMs) {
        AdmittedRequest request = waiting.request();
        log.log(
                "request-waited",
                "request",
                request.head().requestId(),
                "route",
                request.route().id(),
                "service",
                request.service().id(),
                "priority",
                waiting.entry().level(),
                "result",
                result,
                "waitedMs",
                nowMs - waiting.enteredMs(),
                "latestStartInMs",
                waiting.entry().entry().latestStartMs() - nowMs,
                "retryAfterMs",
                retryAfterMs);
    }

    void logFailedAttempt(
            AdmittedRequest request, EndpointId endpoint, String result, String detail) {
        log.log(
                "attempt-failed",
                "request",
                request.head().requestId(),
                "route",
                request.route().id(),
                "endpoint",
                endpoint,
                "result",
                result,
                "detail",
                detail);
    }

    void logSuspects(AdmittedRequest request, EndpointId endpoint, List<PromptPartKey> suspects) {
        log.log(
                "prompt-parts-suspected",
                "request",
                request.head().requestId(),
                "service",
                request.service().id(),
                "endpoint",
                endpoint,
                "parts",
                suspects.stream().limit(MAX_LOGGED_PARTS).map(PromptPartKey::part).toList(),
                "count",
                suspects.size());
    }

    void logDroppedEvidence(long count, int maxItems) {
        log.log("prompt-part-evidence-dropped", "count", count, "maximum", maxItems);
    }

    void logCompletion(
            AdmittedRequest request,
            String outcome,
            int attempts,
            Collection<EndpointId> endpoints,
            long firstByteMs,
            long elapsedMs) {
        log.log(
                "answered".equals(outcome) ? "request-answered" : "request-failed",
                "request",
                request.head().requestId(),
                "route",
                request.route().id(),
                "service",
                request.service().id(),
                "account",
                request.account().map(account -> account.id().value()).orElse("none"),
                "amount",
                request.quotaAmount(),
                "outcome",
                outcome,
                "sends",
                attempts,
                "endpoints",
                endpoints,
                "firstByteMs",
                firstByteMs,
                "elapsedMs",
                elapsedMs,
                "viewRevision",
                request.view().revision(),
                "viewAgeMs",
                viewLease.ageMs());
    }
}
