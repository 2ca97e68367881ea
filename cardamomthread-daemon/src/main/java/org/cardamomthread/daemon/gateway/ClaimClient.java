package org.cardamomthread.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimOutcome;

/**
 * Proposes claim commands, which record that a call of a client account is about to run, has run or
 * was released. Thread-safe.
 */
@FunctionalInterface
public interface ClaimClient {

    /**
     * Proposes a command.
     *
     * @param command the command; it must be idempotent, since it may be applied more than once
     * @return completes with the outcome, or exceptionally if there is none in time
     */
    CompletableFuture<ClaimOutcome> propose(ClaimCommand command);
}
