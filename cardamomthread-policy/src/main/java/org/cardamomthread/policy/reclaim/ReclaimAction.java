package org.cardamomthread.policy.reclaim;

import java.util.Objects;
import org.cardamomthread.core.id.RequestId;

/**
 * Describes the action for one call on a host that is being reclaimed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request identifier of the request
 * @param type type of the action
 * @param recomputedTokens number of tokens that are processed again
 * @param interruptionMs time for which the caller receives no tokens, in milliseconds
 */
public record ReclaimAction(
        RequestId request, Type type, double recomputedTokens, double interruptionMs) {

    /** Types of actions. */
    public enum Type {
        /** The call finishes on the old host before the reclaim. */
        FINISH,
        /** The call has not started and is sent to another endpoint. */
        REQUEUE,
        /** The KV cache is exported and the call continues at another endpoint. */
        EXPORT_KV,
        /**
         * The call continues at another endpoint after its prompt and the delivered tokens are
         * processed again.
         */
        RESUME,
        /**
         * The call is executed again from its start at another endpoint; tokens already delivered
         * are not sent to the caller again.
         */
        RERUN,
        /** The call is not idempotent, so its outcome on the old host has to be awaited. */
        AWAIT
    }

    /** Validates the components. */
    public ReclaimAction {
        Objects.requireNonNull(request, "request must not be null");
        Objects.requireNonNull(type, "type must not be null");
    }
}
