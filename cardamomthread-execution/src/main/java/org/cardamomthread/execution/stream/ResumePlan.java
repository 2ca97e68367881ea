package org.cardamomthread.execution.stream;

/**
 * Describes how to continue a request whose endpoint was lost or is leaving.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind how the request is continued
 * @param delivered output that must not be sent to the caller again
 * @param recomputedTokens number of tokens that the new endpoint processes again
 */
public record ResumePlan(Kind kind, DeliveredOutput delivered, int recomputedTokens) {

    /** Ways to continue a request. */
    public enum Kind {
        /** Sends the unchanged request again, because nothing was delivered. */
        RESTART,
        /**
         * Exports the KV cache from the old endpoint, imports it into the new one and resumes after
         * the last token.
         */
        TRANSFER,
        /** Resumes after the delivered text; the new endpoint processes prompt and text again. */
        REPLAY,
        /**
         * Ends the request with an error, because continuing would repeat or corrupt the output.
         */
        FAIL
    }

    /**
     * Selects the plan that recomputes the fewest tokens.
     *
     * @param delivered output that the caller already has
     * @param promptTokens length of the prompt, in tokens
     * @param repeatable whether the request may be executed again
     * @param from capabilities of the old endpoint; all false if it is no longer reachable
     * @param to capabilities of the new endpoint
     * @return the plan; {@link Kind#FAIL} if the request cannot be continued
     */
    public static ResumePlan select(
            DeliveredOutput delivered,
            int promptTokens,
            boolean repeatable,
            EngineCapabilities from,
            EngineCapabilities to) {
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
