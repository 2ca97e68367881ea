package org.cardamomthread.policy.reclaim;

import java.util.Objects;
import org.cardamomthread.core.id.RequestId;

/**
 * States what happens to one call.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param request the call
 * @param type what happens
 * @param recomputedTokens tokens that are processed again
 * @param interruptionMs time for which the caller gets no tokens, in milliseconds
 */
public record ReclaimAction(
        RequestId request, Type type, double recomputedTokens, double interruptionMs) {

    /** Names what happens to a call. Immutable. */
    public enum Type {
        /** It ends on the old host before the reclaim. */
        FINISH,
        /** It has not begun and is sent elsewhere. */
        REQUEUE,
        /** Its KV cache moves and it goes on elsewhere. */
        EXPORT_KV,
        /** It goes on elsewhere after its prompt and delivered tokens were processed again. */
        RESUME,
        /**
         * It is run again elsewhere from its start; tokens already delivered are not sent again.
         */
        RERUN,
        /** It may not be repeated and its outcome on the old host has to be awaited. */
        AWAIT
    }

    /** Checks the parts. */
    public ReclaimAction {
        Objects.requireNonNull(request, "request must be given");
        Objects.requireNonNull(type, "type must be given");
    }
}
