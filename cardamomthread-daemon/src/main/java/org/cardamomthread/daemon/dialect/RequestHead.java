package org.cardamomthread.daemon.dialect;

import java.util.List;
import java.util.OptionalLong;
import org.cardamomthread.core.id.RequestId;

/**
 * Holds the metadata in the head of a client request. Immutable.
 *
 * @param requestId the id of this attempt of the client
 * @param timeoutMs how long the client waits, in milliseconds, or empty if not given
 * @param maxTotalTokens the sum of prompt tokens and maximum output tokens, or empty if this is not
 *     a model request
 * @param promptTokens the number of prompt tokens, or 0 if this is not a model request
 * @param promptParts the parts of the prompt in order, empty if not given
 */
public record RequestHead(
        RequestId requestId,
        OptionalLong timeoutMs,
        OptionalLong maxTotalTokens,
        long promptTokens,
        List<PromptPart> promptParts) {

    /** Creates the metadata with a copy of the prompt parts. */
    public RequestHead {
        promptParts = List.copyOf(promptParts);
    }
}
