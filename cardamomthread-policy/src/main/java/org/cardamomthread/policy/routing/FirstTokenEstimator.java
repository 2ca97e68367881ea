package org.cardamomthread.policy.routing;

/**
 * Estimates the time to the first token at an endpoint from its latest load report, which lags
 * behind.
 *
 * <p>Stateless and thread-safe.
 */
final class FirstTokenEstimator {

    private static final double MS_PER_SECOND = 1_000;

    private FirstTokenEstimator() {}

    /**
     * Returns the expected wait for a slot in the endpoint's batch and for the prompts ahead, in
     * milliseconds.
     */
    static double queueMs(EndpointCandidate candidate, SelectionRequest request, long nowMs) {
        EndpointLoadReport load = candidate.load();
        int requestsAhead = candidate.outstandingRequests() + 1 - load.concurrencyLimit();
        double slotWaitMs = 0;
        if (requestsAhead > 0) {
            double callMs =
                    MS_PER_SECOND
                            * Math.max(1, request.expectedOutputTokens())
                            / load.decodeTokensPerSecond();
            slotWaitMs = requestsAhead * callMs / load.concurrencyLimit();
        }
        double ageMs = Math.max(0, nowMs - load.reportedAtMs());
        double backlogTokens =
                candidate.promptTokensSentSinceReport()
                        + (double) load.queued() * request.promptTokens();
        double backlogMs = MS_PER_SECOND * backlogTokens / load.prefillTokensPerSecond();
        return slotWaitMs + Math.max(0, backlogMs - ageMs);
    }

    /** Returns the expected time to process the uncached part of the prompt, in milliseconds. */
    static double prefillMs(EndpointCandidate candidate, double uncachedTokens) {
        return MS_PER_SECOND * uncachedTokens / candidate.load().prefillTokensPerSecond();
    }

    /**
     * Returns the expected time to generate the response after the first token, in milliseconds.
     */
    static double decodeMs(EndpointCandidate candidate, SelectionRequest request) {
        return MS_PER_SECOND
                * request.expectedOutputTokens()
                / candidate.load().decodeTokensPerSecond();
    }
}
