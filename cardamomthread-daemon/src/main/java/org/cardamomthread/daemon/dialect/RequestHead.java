package org.cardamomthread.daemon.dialect;

import java.util.List;
import java.util.OptionalLong;
import org.cardamomthread.core.id.RequestId;

/**
 * Holds what a caller's request says of itself. Immutable.
 *
 * @param requestId the identifier of this attempt of the client
 * @param timeoutMs how long the client waits, in milliseconds, or empty if it does not say
 * @param maxTotalTokens prompt tokens and the most output tokens together, or empty for no model
 *     request
 * @param promptTokens the tokens of the prompt, 0 for no model request
 * @param promptParts the parts of the prompt in order, empty if not given
 */
public record RequestHead(
        RequestId requestId,
        OptionalLong timeoutMs,
        OptionalLong maxTotalTokens,
        long promptTokens,
        List<PromptPart> promptParts) {

    /** Copies the parts. */
    public RequestHead {
        promptParts = List.copyOf(promptParts);
    }
}
