package org.cardamomthread.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
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
    private final TreeMap<Long, List<CompletableFuture<ConfigurationView>>> revisionFutures =
            new TreeMap<>();
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
     * Waits until a revision is in force here.
     *
     * @param revision the revision
     * @return completes with the view of that revision or a later one
     */
    public synchronized CompletableFuture<ConfigurationView> awaitRevision(long revision) {
        CompletableFuture<ConfigurationView> reached = new CompletableFuture<>();
        if (view.revision() >= revision) {
            reached.complete(view);
        } else {
            revisionFutures.computeIfAbsent(revision, key -> new ArrayList<>()).add(reached);
        }
        return reached;
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
        var reached = revisionFutures.headMap(newer.revision(), true);
        reached.values().forEach(futures -> futures.forEach(future -> future.complete(newer)));
        reached.clear();
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
