package org.cardamomthread.configuration.state;

import java.util.List;
import org.cardamomthread.configuration.state.ConfigurationResult.Accepted;
import org.cardamomthread.configuration.state.ConfigurationResult.Rejected;
import org.cardamomthread.configuration.state.ConfigurationResult.Stale;

/**
 * The answer to a command and the view that follows from it.
 *
 * <p>Immutable and safe for use by several threads.
 */
record CommandOutcome(ConfigurationResult result, ConfigurationView view) {

    /** Accepts the changes gathered by an editor. */
    static CommandOutcome accept(ViewBuilder editor) {
        ConfigurationView next = editor.build();
        return new CommandOutcome(new Accepted(next.revision(), 0), next);
    }

    /** Accepts a command that is in force already. */
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
