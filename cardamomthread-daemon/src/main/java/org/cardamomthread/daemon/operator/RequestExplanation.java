package org.cardamomthread.daemon.operator;

import java.time.Instant;
import java.util.List;
import org.cardamomthread.core.id.RequestId;

/**
 * The decisions that a node made on a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId the request
 * @param service the service that the request was for
 * @param outcome how the request ended, or {@code in-progress}
 * @param decisions the decisions in chronological order
 */
public record RequestExplanation(
        RequestId requestId, String service, String outcome, List<Decision> decisions) {
    /** Copies the list of decisions. */
    public RequestExplanation {
        decisions = List.copyOf(decisions);
    }

    /**
     * A decision on a request.
     *
     * @param at when it was made
     * @param action what was decided, such as {@code queued}, {@code sent}, {@code resumed} or
     *     {@code refused}
     * @param endpoint the chosen endpoint, or an empty string if there is none
     * @param reason the reason for the decision
     */
    public record Decision(Instant at, String action, String endpoint, String reason) {}
}
