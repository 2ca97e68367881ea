package org.cardamomthread.configuration.state;

import java.util.List;
import org.cardamomthread.configuration.state.ConfigurationResult.Accepted;
import org.cardamomthread.configuration.state.ConfigurationResult.Rejected;
import org.cardamomthread.configuration.state.ConfigurationResult.Stale;

/**
 * Holds the result of a command and the view after it.
 *
 * <p>Immutable and thread-safe.
 */
record CommandOutcome(ConfigurationResult result, ConfigurationView view) {

    /** Accepts a command and applies the changes of a builder. */
    static CommandOutcome accept(ViewBuilder builder) {
        ConfigurationView next = builder.build();
        return new CommandOutcome(new Accepted(next.revision(), 0), next);
    }

    /** Accepts a command that is already in effect and changes nothing. */
    static CommandOutcome unchanged(ConfigurationView view) {
        return new CommandOutcome(new Accepted(view.revision(), 0), view);
    }

    static CommandOutcome reject(ConfigurationView view, String reason, String remedy) {
        return new CommandOutcome(new Rejected(view.revision(), reason, remedy), view);
    }

    static CommandOutcome stale(ConfigurationView view, List<String> differences) {
        return new CommandOutcome(Stale.of(view.revision(), differences), view);
    }
}
