package org.cardamomthread.daemon.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.operator.RequestExplanation.Decision;
import org.cardamomthread.policy.routing.CandidateScore;
import org.cardamomthread.policy.routing.Selection;

/**
 * Keeps the placement decisions of the latest requests, so that operators can ask why a request was
 * sent to an endpoint.
 *
 * <p>Invariant: holds at most {@value #MAX_REQUESTS} requests; older ones are evicted. Thread-safe.
 */
public final class PlacementHistory implements PlacementObserver {

    private static final int MAX_REQUESTS = 2_000;
    private static final int MAX_DECISIONS_PER_REQUEST = 20;
    private static final String UNKNOWN = "unknown";
    private static final String IN_PROGRESS = "in-progress";

    private final TimeSource timeSource;
    private final Map<RequestId, RequestRecord> requests =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<RequestId, RequestRecord> eldest) {
                    return size() > MAX_REQUESTS;
                }
            };

    /**
     * Creates an empty history.
     *
     * @param timeSource the node's clock
     */
    public PlacementHistory(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    @Override
    public synchronized void observe(PlacementRequest request, Selection selection) {
        RequestRecord requestRecord =
                requests.computeIfAbsent(
                        request.requestId(),
                        id -> new RequestRecord(request.target().service().value()));
        requestRecord.add(createDecision(selection));
    }

    /** Records how a request ended. */
    synchronized void recordOutcome(RequestId request, CallOutcome outcome) {
        RequestRecord requestRecord = requests.get(request);
        if (requestRecord != null) {
            requestRecord.outcome = outcome.getLabel();
        }
    }

    /**
     * Returns the placement decisions that this node made for a request.
     *
     * @param request the identifier of the request
     * @return the decisions in order; empty if the request is unknown or was evicted
     */
    public synchronized List<Decision> getDecisions(RequestId request) {
        RequestRecord requestRecord = requests.get(request);
        return requestRecord == null ? List.of() : List.copyOf(requestRecord.decisions);
    }

    /**
     * Returns the service of a request.
     *
     * @param request the identifier of the request
     * @return the identifier of the service, or {@code unknown}
     */
    public synchronized String getService(RequestId request) {
        RequestRecord requestRecord = requests.get(request);
        return requestRecord == null ? UNKNOWN : requestRecord.service;
    }

    /**
     * Returns how a request ended.
     *
     * @param request the identifier of the request
     * @return its outcome, {@code in-progress}, or {@code unknown}
     */
    public synchronized String getOutcome(RequestId request) {
        RequestRecord requestRecord = requests.get(request);
        return requestRecord == null ? UNKNOWN : requestRecord.outcome;
    }

    private Decision createDecision(Selection selection) {
        if (selection.selected().isEmpty()) {
            return new Decision(
                    timeSource.instant(),
                    "waited",
                    "",
                    String.valueOf(selection.refusal().orElseThrow()));
        }
        CandidateScore score = selection.score().orElseThrow();
        return new Decision(
                timeSource.instant(),
                "chosen",
                score.endpoint().value(),
                String.format(
                        "first token estimated in %.0f ms, %.0f tokens cached, lateness %.2f,"
                                + " price %.2f, risk %.2f",
                        score.firstTokenMs(),
                        score.cachedTokens(),
                        score.latenessPenalty(),
                        score.pricePenalty(),
                        score.riskPenalty()));
    }

    /** Holds the decisions and the outcome of one request. */
    private static final class RequestRecord {

        private final String service;
        private final List<Decision> decisions = new ArrayList<>();
        private String outcome = IN_PROGRESS;

        RequestRecord(String service) {
            this.service = service;
        }

        /** Appends a decision unless it repeats the last one or the limit is reached. */
        void add(Decision decision) {
            if (decisions.size() >= MAX_DECISIONS_PER_REQUEST || repeatsLast(decision)) {
                return;
            }
            decisions.add(decision);
        }

        private boolean repeatsLast(Decision decision) {
            if (decisions.isEmpty()) {
                return false;
            }
            Decision last = decisions.get(decisions.size() - 1);
            return last.action().equals(decision.action())
                    && last.reason().equals(decision.reason());
        }
    }
}
