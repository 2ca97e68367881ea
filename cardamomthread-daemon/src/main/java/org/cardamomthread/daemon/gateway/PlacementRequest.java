package org.cardamomthread.daemon.gateway;

import java.util.Set;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Says what an attempt needs of an endpoint.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestId the request
 * @param account the client account, for fair shares
 * @param target what the call is for
 * @param prefix the blocks of a model call's prompt, empty for others
 * @param promptTokens tokens that the endpoint has to read if it has none of them cached
 * @param outputTokens tokens that the answer may have
 * @param excluded endpoints on which this call has failed
 * @param needsResume whether the endpoint must be able to go on from delivered text
 * @param isRetry whether an earlier attempt was made, which goes before new calls
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
