package org.cardamomthread.execution.stream;

/**
 * States how to go on with a request whose endpoint is lost or leaving.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param kind the way
 * @param delivered what must not be sent to the caller again
 * @param recomputedTokens tokens that the new endpoint processes a second time
 */
public record ResumePlan(Kind kind, Delivered delivered, int recomputedTokens) {

    /** Names the ways. */
    public enum Kind {
        /** Nothing was delivered: send the request again as it was. */
        RESTART,
        /**
         * Export the KV cache from the old endpoint, import it, and resume after the last token.
         */
        TRANSFER,
        /** Resume after the delivered text; the new endpoint reads prompt and text again. */
        REPLAY,
        /** Going on would repeat or garble what the caller has: end with an error. */
        FAIL
    }

    /**
     * Chooses the way that recomputes least.
     *
     * @param delivered what the caller has
     * @param promptTokens length of the prompt
     * @param repeatable whether the request may run again
     * @param from abilities of the old endpoint, if it can still be asked; else none
     * @param to abilities of the new endpoint
     * @return the plan
     */
    public static ResumePlan choose(
            Delivered delivered,
            int promptTokens,
            boolean repeatable,
            EngineAbilities from,
            EngineAbilities to) {
        if (!repeatable) {
            return new ResumePlan(Kind.FAIL, delivered, 0);
        }
        if (to.resume() && from.kvTransfer() && to.kvTransfer()) {
            return new ResumePlan(Kind.TRANSFER, delivered, 0);
        }
        if (delivered.tokens() == 0) {
            return new ResumePlan(Kind.RESTART, delivered, promptTokens);
        }
        if (to.resume()) {
            return new ResumePlan(Kind.REPLAY, delivered, promptTokens + delivered.tokens());
        }
        return new ResumePlan(Kind.FAIL, delivered, 0);
    }
}
