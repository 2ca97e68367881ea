package org.cardamomthread.policy.reclaim;

import java.util.Objects;
import org.cardamomthread.core.id.RequestId;

/**
 * Describes a call on a host that is being reclaimed.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the request
 * @param stage how far the call has come
 * @param repeatable true if running it twice does no harm
 * @param promptTokens tokens of the prompt, at least zero
 * @param deliveredTokens tokens that the caller has got, at least zero
 * @param remainingTokens tokens still expected, at least zero
 * @param decodeTokensPerSecond tokens generated a second for this call, above zero
 */
public record AffectedCall(
        RequestId id,
        Stage stage,
        boolean repeatable,
        int promptTokens,
        int deliveredTokens,
        int remainingTokens,
        double decodeTokensPerSecond) {

    /** Names how far a call has come. Immutable. */
    public enum Stage {
        /** The endpoint has not begun. */
        QUEUED,
        /** The endpoint executes the call. */
        RUNNING
    }

    /** Checks the parts. */
    public AffectedCall {
        Objects.requireNonNull(id, "id must be given");
        Objects.requireNonNull(stage, "stage must be given");
        if (promptTokens < 0
                || deliveredTokens < 0
                || remainingTokens < 0
                || !(decodeTokensPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "tokens of " + id + " must be 0 or more and its rate above 0");
        }
    }

    /** Returns the tokens whose state the endpoint holds for the call. */
    int stateTokens() {
        return promptTokens + deliveredTokens;
    }
}
