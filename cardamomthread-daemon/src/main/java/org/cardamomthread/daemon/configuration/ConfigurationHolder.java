package org.cardamomthread.daemon.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.generated.ConfigurationDelta;
import org.cardamomthread.configuration.state.ConfigurationGapException;
import org.cardamomthread.configuration.state.ConfigurationView;

/**
 * Holds the configuration in force on this node.
 *
 * <p>Invariant: the revision only rises. Safe for use by several threads; listeners hear of each
 * revision in order, on the thread that installed it.
 */
public final class ConfigurationHolder {

    private final List<Consumer<ConfigurationView>> listeners = new CopyOnWriteArrayList<>();
    private volatile ConfigurationView view = ConfigurationView.empty();

    /**
     * Returns the configuration in force.
     *
     * @return the view
     */
    public ConfigurationView getView() {
        return view;
    }

    /**
     * Returns the declarations in force.
     *
     * @return the declarations
     */
    public Declarations getDeclarations() {
        return view.declarations();
    }

    /**
     * Adds a listener and tells it of the present view.
     *
     * @param listener must not block
     */
    public synchronized void addListener(Consumer<ConfigurationView> listener) {
        listeners.add(listener);
        listener.accept(view);
    }

    /**
     * Puts a view in force unless this node has it or a later one.
     *
     * @param newer the view
     * @return true if it was put in force
     */
    public synchronized boolean install(ConfigurationView newer) {
        if (newer.revision() <= view.revision()) {
            return false;
        }
        view = newer;
        listeners.forEach(listener -> listener.accept(newer));
        return true;
    }

    /**
     * Puts the revision of a delta in force unless this node has it or a later one.
     *
     * @param delta the delta
     * @return true if it was put in force
     * @throws ConfigurationGapException if the delta begins after the revision in force
     */
    public synchronized boolean install(ConfigurationDelta delta) throws ConfigurationGapException {
        return install(view.applyDelta(delta));
    }
}
