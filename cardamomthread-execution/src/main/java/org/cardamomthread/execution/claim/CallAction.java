package org.cardamomthread.execution.claim;

import java.util.Optional;
import org.cardamomthread.execution.ExecutionStatus;

/**
 * Action that the gateway must perform next for a non-idempotent call.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface CallAction {

    /**
     * Proposes a command to the replicated log of claims. If the proposal is not confirmed, the
     * same command may be proposed again.
     *
     * @param command command to append to the log
     */
    record Propose(ClaimCommand command) implements CallAction {}

    /** Sends the call to one endpoint, once and without any retry. */
    record Dispatch() implements CallAction {}

    /**
     * Replies to the caller.
     *
     * @param execution whether the call was executed
     * @param answer response of the endpoint; empty if the call is rejected
     * @param cause claim outcome that caused the rejection, if any
     */
    record Reply(
            ExecutionStatus execution,
            Optional<StoredResponse> answer,
            Optional<ClaimOutcome.Kind> cause)
            implements CallAction {}
}
