package org.cardamomthread.policy.reclaim;

import java.util.Objects;
import org.cardamomthread.core.id.RequestId;

/**
 * Describes a call on a host that is being reclaimed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifier of the request
 * @param stage progress of the call
 * @param idempotent whether the call may be executed twice
 * @param promptTokens number of tokens in the prompt, at least zero
 * @param deliveredTokens number of tokens that the caller has received, at least zero
 * @param remainingTokens expected number of tokens still to be generated, at least zero
 * @param decodeTokensPerSecond tokens generated per second for this call, above zero
 */
public record AffectedCall(
        RequestId id,
        Stage stage,
        boolean idempotent,
        int promptTokens,
        int deliveredTokens,
        int remainingTokens,
        double decodeTokensPerSecond) {

    /** Stages of a call. */
    public enum Stage {
        /** The endpoint has not started the call. */
        QUEUED,
        /** The endpoint is executing the call. */
        RUNNING
    }

    /** Validates the components. */
    public AffectedCall {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(stage, "stage must not be null");
        if (promptTokens < 0
                || deliveredTokens < 0
                || remainingTokens < 0
                || !(decodeTokensPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "token counts of "
                            + id
                            + " must be 0 or more and its decodeTokensPerSecond greater than 0");
        }
    }

    /**
     * Returns the number of tokens in the context of the call, for which the endpoint holds a KV
     * cache.
     */
    int contextTokens() {
        return promptTokens + deliveredTokens;
    }
}
