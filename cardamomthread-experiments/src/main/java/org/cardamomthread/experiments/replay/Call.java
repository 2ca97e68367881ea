package org.cardamomthread.experiments.replay;

import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.TrafficProfile;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Describes one call of a workload. Immutable.
 *
 * @param id the request
 * @param pool which endpoints can serve it
 * @param account the client account
 * @param session name of the conversation or report
 * @param arrivalMs when it arrives, in milliseconds
 * @param deadlineMs by when patient work must be finished, in milliseconds
 * @param profile what it accepts
 * @param promptTokens tokens of the prompt
 * @param outputTokens tokens of the answer
 * @param expectedOutputTokens tokens that a gateway would expect
 * @param prefix blocks of the prompt
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

    /** Names a set of endpoints. Immutable. */
    enum Pool {
        /** Model runners. */
        MODEL,
        /** Runners of plain applications. */
        APPLICATION
    }
}
