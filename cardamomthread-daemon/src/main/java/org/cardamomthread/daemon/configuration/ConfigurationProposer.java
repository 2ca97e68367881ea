package org.cardamomthread.daemon.configuration;

import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.state.ConfigurationResult;

/** Proposes changes to the replicated configuration. Thread-safe. */
@FunctionalInterface
public interface ConfigurationProposer {

    /**
     * Proposes a change; may be called again with the same operation id, which takes effect once.
     *
     * @param command the change
     * @return completes with the result, or fails if the change was not committed or its outcome is
     *     unknown
     */
    CompletableFuture<ConfigurationResult> propose(ConfigurationCommand command);
}
