package org.cardamomthread.policy.capacity;

/** Estimates how many endpoints a service needs. Stateless and thread-safe. */
public final class EndpointCountEstimator {

    /**
     * Target share of an endpoint's time spent on prompt processing; a low share keeps the wait for
     * the first token short.
     */
    private static final double PROMPT_UTILISATION = 0.35;

    /**
     * Target share of an endpoint's slots in use; a low share keeps the gap between tokens short.
     */
    private static final double SLOT_UTILISATION = 0.25;

    private static final double MS_PER_S = 1_000.0;

    private EndpointCountEstimator() {}

    /**
     * Estimates the number of endpoints for a load.
     *
     * @param inFlight average number of requests in progress
     * @param slots maximum number of concurrent requests at one endpoint
     * @param promptTokensPerS prompt tokens that arrive per second
     * @param msPerPromptToken time that one endpoint takes to process a prompt token, in
     *     milliseconds
     * @return number of endpoints, at least one
     */
    public static int estimate(
            double inFlight, int slots, double promptTokensPerS, double msPerPromptToken) {
        double endpointsBusyWithPrompts = promptTokensPerS * msPerPromptToken / MS_PER_S;
        double endpoints =
                endpointsBusyWithPrompts / PROMPT_UTILISATION
                        + inFlight / (Math.max(1, slots) * SLOT_UTILISATION);
        return (int) Math.max(1, Math.ceil(endpoints));
    }
}
