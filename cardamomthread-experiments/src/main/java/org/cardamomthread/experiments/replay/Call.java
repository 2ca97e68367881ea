package org.cardamomthread.experiments.replay;

import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.TrafficProfile;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * One call of a workload. Immutable.
 *
 * @param id identifier of the request
 * @param pool the endpoints that can serve it
 * @param account the client account
 * @param session name of the conversation or report to which it belongs
 * @param arrivalMs arrival time, in milliseconds of virtual time
 * @param deadlineMs time by which a deferrable call must be finished, or {@link Long#MAX_VALUE}
 * @param profile latency target and priority
 * @param promptTokens length of the prompt in tokens
 * @param outputTokens length of the response in tokens
 * @param expectedOutputTokens length of the response that a gateway expects, in tokens
 * @param prefix hashes of the complete blocks of the prompt
 */
record Call(
        RequestId id,
        Pool pool,
        ClientAccountId account,
        String session,
        long arrivalMs,
        long deadlineMs,
        TrafficProfile profile,
        int promptTokens,
        int outputTokens,
        int expectedOutputTokens,
        PromptPrefix prefix) {

    /** A set of endpoints that serve the same kind of calls. */
    enum Pool {
        /** Model runners. */
        MODEL,
        /** Runners of plain applications. */
        APPLICATION
    }
}
