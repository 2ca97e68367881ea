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
 * Remembers why the latest requests went where they went.
 *
 * <p>Invariant: holds at most {@value #MAX_REQUESTS} requests, older ones are dropped. Safe for use
 * by several threads.
 */
public final class ChoiceLog implements PlacementObserver {

    private static final int MAX_REQUESTS = 2_000;
    private static final int MAX_DECISIONS = 20;
    private static final String UNKNOWN = "unknown";
    private static final String IN_PROGRESS = "in-progress";

    private final TimeSource timeSource;
    private final Map<RequestId, Choices> requests =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<RequestId, Choices> eldest) {
                    return size() > MAX_REQUESTS;
                }
            };

    /**
     * Creates an empty log.
     *
     * @param timeSource the node's clock
     */
    public ChoiceLog(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    @Override
    public synchronized void observe(PlacementRequest request, Selection selection) {
        Choices choices =
                requests.computeIfAbsent(
                        request.requestId(), id -> new Choices(request.target().service().value()));
        choices.add(createDecision(selection));
    }

    /** Records how a request ended. */
    synchronized void end(RequestId request, CallOutcome outcome) {
        Choices choices = requests.get(request);
        if (choices != null) {
            choices.outcome = outcome.getLabel();
        }
    }

    /**
     * Returns the choices made for a request on this node.
     *
     * @param request the request
     * @return the decisions in order; empty if the request is unknown or too old
     */
    public synchronized List<Decision> explain(RequestId request) {
        Choices choices = requests.get(request);
        return choices == null ? List.of() : List.copyOf(choices.decisions);
    }

    /**
     * Returns the service of a request.
     *
     * @param request the request
     * @return its service, or {@code unknown}
     */
    public synchronized String findService(RequestId request) {
        Choices choices = requests.get(request);
        return choices == null ? UNKNOWN : choices.service;
    }

    /**
     * Returns how a request ended.
     *
     * @param request the request
     * @return its outcome, {@code in-progress}, or {@code unknown}
     */
    public synchronized String findOutcome(RequestId request) {
        Choices choices = requests.get(request);
        return choices == null ? UNKNOWN : choices.outcome;
    }

    private Decision createDecision(Selection selection) {
        if (selection.chosen().isEmpty()) {
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
                        score.lateness(),
                        score.price(),
                        score.risk()));
    }

    /** Holds what is known of one request. */
    private static final class Choices {

        private final String service;
        private final List<Decision> decisions = new ArrayList<>();
        private String outcome = IN_PROGRESS;

        Choices(String service) {
            this.service = service;
        }

        /** Keeps a decision unless it repeats the last one or there are too many. */
        void add(Decision decision) {
            if (decisions.size() >= MAX_DECISIONS || repeatsLast(decision)) {
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
