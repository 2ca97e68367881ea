package org.cardamomthread.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.generated.ConfigurationDelta;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.DeltaGapException;

/**
 * Holds the active configuration of this node and notifies listeners of changes.
 *
 * <p>Invariant: the revision never decreases. Thread-safe; listeners receive the installed views in
 * order, on the thread that installs them.
 */
public final class ConfigurationHolder {

    private final List<Consumer<ConfigurationView>> listeners = new CopyOnWriteArrayList<>();
    private final TreeMap<Long, List<CompletableFuture<ConfigurationView>>> revisionFutures =
            new TreeMap<>();
    private volatile ConfigurationView view = ConfigurationView.empty();

    /**
     * Returns the active configuration.
     *
     * @return the view
     */
    public ConfigurationView getView() {
        return view;
    }

    /**
     * Returns the active declarations.
     *
     * @return the declarations of the active configuration
     */
    public Declarations getDeclarations() {
        return view.declarations();
    }

    /**
     * Adds a listener and calls it with the current view.
     *
     * @param listener receives each view that becomes active; must not block
     */
    public synchronized void addListener(Consumer<ConfigurationView> listener) {
        listeners.add(listener);
        listener.accept(view);
    }

    /**
     * Returns a future that completes when a revision is active on this node.
     *
     * @param revision the lowest revision to wait for
     * @return completes with the view of that revision or a later one
     */
    public synchronized CompletableFuture<ConfigurationView> awaitRevision(long revision) {
        CompletableFuture<ConfigurationView> future = new CompletableFuture<>();
        if (view.revision() >= revision) {
            future.complete(view);
        } else {
            revisionFutures.computeIfAbsent(revision, key -> new ArrayList<>()).add(future);
        }
        return future;
    }

    /**
     * Activates a view unless its revision or a later one is already active.
     *
     * @param newView the view
     * @return true if the view was activated
     */
    public synchronized boolean install(ConfigurationView newView) {
        if (newView.revision() <= view.revision()) {
            return false;
        }
        view = newView;
        listeners.forEach(listener -> listener.accept(newView));
        var reachedFutures = revisionFutures.headMap(newView.revision(), true);
        reachedFutures
                .values()
                .forEach(futures -> futures.forEach(future -> future.complete(newView)));
        reachedFutures.clear();
        return true;
    }

    /**
     * Applies a delta and activates the result unless its revision or a later one is already
     * active.
     *
     * @param delta the changes since a revision that this node has
     * @return true if the view was activated
     * @throws DeltaGapException if the delta starts after the active revision
     */
    public synchronized boolean install(ConfigurationDelta delta) throws DeltaGapException {
        return install(view.applyDelta(delta));
    }
}
