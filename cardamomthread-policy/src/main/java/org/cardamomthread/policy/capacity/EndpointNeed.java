package org.cardamomthread.policy.capacity;

/**
 * Estimates how many endpoints of a service are needed. Stateless and safe for use by several
 * threads.
 */
public final class EndpointNeed {

    /** Part of an endpoint's time that may go to prompts, so that first tokens seldom wait. */
    private static final double PROMPT_UTILISATION = 0.35;

    /** Part of an endpoint's slots that may be in use, so that tokens follow each other quickly. */
    private static final double SLOT_UTILISATION = 0.25;

    private static final double MS_PER_S = 1_000.0;

    private EndpointNeed() {}

    /**
     * Estimates the need.
     *
     * @param inFlight requests in progress
     * @param slots requests that one endpoint runs at once
     * @param promptTokensPerS prompt tokens that arrive a second
     * @param msPerPromptToken time that one endpoint takes to read a prompt token
     * @return endpoints, at least 1
     */
    public static int estimate(
            double inFlight, int slots, double promptTokensPerS, double msPerPromptToken) {
        double busyWithPrompts = promptTokensPerS * msPerPromptToken / MS_PER_S;
        double need =
                busyWithPrompts / PROMPT_UTILISATION
                        + inFlight / (Math.max(1, slots) * SLOT_UTILISATION);
        return (int) Math.max(1, Math.ceil(need));
    }
}
