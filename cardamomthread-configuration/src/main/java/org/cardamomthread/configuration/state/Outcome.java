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
record Outcome(ConfigurationResult result, ConfigurationView view) {

    /** Accepts the changes gathered by an editor. */
    static Outcome accept(ViewEditor editor) {
        ConfigurationView next = editor.build();
        return new Outcome(new Accepted(next.revision(), 0), next);
    }

    /** Accepts a command that is in force already. */
    static Outcome unchanged(ConfigurationView view) {
        return new Outcome(new Accepted(view.revision(), 0), view);
    }

    static Outcome reject(ConfigurationView view, String reason, String remedy) {
        return new Outcome(new Rejected(view.revision(), reason, remedy), view);
    }

    static Outcome stale(ConfigurationView view, List<String> differences) {
        return new Outcome(Stale.of(view.revision(), differences), view);
    }
}
