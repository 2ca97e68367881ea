package org.cardamomthread.daemon.operator;

import java.time.Instant;
import java.util.List;
import org.cardamomthread.core.id.RequestId;

/**
 * Explains where a request went.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestId the request
 * @param service the service
 * @param outcome how it ended, or in-progress
 * @param decisions the decisions in their order
 */
public record RequestExplanation(
        RequestId requestId, String service, String outcome, List<Decision> decisions) {
    /** Copies the lists. */
    public RequestExplanation {
        decisions = List.copyOf(decisions);
    }

    /**
     * One decision on a request.
     *
     * @param at when it was taken
     * @param action what was decided, such as queued, sent, resumed or refused
     * @param endpoint the endpoint chosen, empty if none
     * @param reason why
     */
    public record Decision(Instant at, String action, String endpoint, String reason) {}
}
