package org.cardamomthread.daemon.gateway;

import java.util.Set;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Describes what an attempt requires of an endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId the identifier of the caller's request
 * @param account the client account, by which the queue is shared fairly
 * @param target the target of the call
 * @param prefix the blocks of a model call's prompt; empty for plain services
 * @param promptTokens number of tokens that the endpoint has to process if none is cached
 * @param outputTokens estimated number of tokens to generate
 * @param excluded endpoints on which this call has failed; used only if no other endpoint is
 *     available
 * @param needsResume whether the endpoint must be able to resume after delivered text
 * @param isRetry whether an earlier attempt was made; retries go before new calls
 */
record PlacementRequest(
        RequestId requestId,
        ClientAccountId account,
        CallTarget target,
        PromptPrefix prefix,
        int promptTokens,
        int outputTokens,
        Set<EndpointId> excluded,
        boolean needsResume,
        boolean isRetry) {

    PlacementRequest {
        excluded = Set.copyOf(excluded);
    }
}
