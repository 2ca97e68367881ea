package org.cardamomthread.daemon.configuration;

import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.state.ConfigurationResult;

/** Proposes changes of the replicated configuration. Safe for use by several threads. */
@FunctionalInterface
public interface ConfigurationProposer {

    /**
     * Proposes a change; the same operation may be proposed again.
     *
     * @param command the change
     * @return completes with the answer, or fails if the outcome is unknown
     */
    CompletableFuture<ConfigurationResult> propose(ConfigurationCommand command);
}
