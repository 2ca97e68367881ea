package org.cardamomthread.daemon.gateway;

import java.util.concurrent.CompletableFuture;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimOutcome;

/** Proposes commands about claims. Safe for use by several threads. */
@FunctionalInterface
public interface ClaimClient {

    /**
     * Proposes a command.
     *
     * @param command the command, which may be applied more than once without harm
     * @return completes with the outcome; fails if there is none in time
     */
    CompletableFuture<ClaimOutcome> propose(ClaimCommand command);
}
