package org.cardamomthread.execution.claim;

import java.util.Optional;
import org.cardamomthread.execution.ExecutionStatus;

/**
 * Tells the gateway what to do next for a call that may not be repeated.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
public sealed interface CallAction {

    /**
     * Propose a command to the claims' log. An unanswered command may be proposed again as it is.
     *
     * @param command the command
     */
    record Propose(ClaimCommand command) implements CallAction {}

    /** Send the call to one endpoint, once, without any retry. */
    record Dispatch() implements CallAction {}

    /**
     * Answer the caller.
     *
     * @param execution what became of the call
     * @param answer the endpoint's answer; empty for a refusal
     * @param cause the claim outcome behind a refusal, if there was one
     */
    record Reply(
            ExecutionStatus execution,
            Optional<StoredAnswer> answer,
            Optional<ClaimOutcome.Kind> cause)
            implements CallAction {}
}
