package org.cardamomthread.policy.routing;

/**
 * Estimates the time to the first token at an endpoint from its late load report.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class FirstTokenEstimator {

    private static final double MS_PER_SECOND = 1_000;

    private FirstTokenEstimator() {}

    /** Returns the expected wait for a place in the endpoint's batch, in milliseconds. */
    static double queueMs(EndpointCandidate candidate, SelectionRequest request, long nowMs) {
        EndpointLoad load = candidate.load();
        int ahead = candidate.outstanding() + 1 - load.bearableRequests();
        double slotWaitMs = 0;
        if (ahead > 0) {
            double callMs =
                    MS_PER_SECOND
                            * Math.max(1, request.expectedOutputTokens())
                            / load.decodeTokensPerSecond();
            slotWaitMs = ahead * callMs / load.bearableRequests();
        }
        double ageMs = Math.max(0, nowMs - load.atMs());
        double backlogTokens =
                candidate.promptTokensSentSinceReport()
                        + (double) load.queued() * request.promptTokens();
        double backlogMs = MS_PER_SECOND * backlogTokens / load.prefillTokensPerSecond();
        return slotWaitMs + Math.max(0, backlogMs - ageMs);
    }

    /** Returns the time to process the uncached part of the prompt, in milliseconds. */
    static double prefillMs(EndpointCandidate candidate, double uncachedTokens) {
        return MS_PER_SECOND * uncachedTokens / candidate.load().prefillTokensPerSecond();
    }

    /** Returns the time to generate the answer once it has begun, in milliseconds. */
    static double decodeMs(EndpointCandidate candidate, SelectionRequest request) {
        return MS_PER_SECOND
                * request.expectedOutputTokens()
                / candidate.load().decodeTokensPerSecond();
    }
}
