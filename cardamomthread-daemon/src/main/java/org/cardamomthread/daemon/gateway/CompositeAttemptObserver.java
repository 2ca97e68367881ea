package org.cardamomthread.daemon.gateway;

import java.util.List;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.gateway.EndpointSnapshot;

/** Notifies several observers in order. Thread-safe if they all are. */
public final class CompositeAttemptObserver implements AttemptObserver {

    private final List<AttemptObserver> observers;

    /**
     * Creates a composite.
     *
     * @param observers the observers, in the order in which they are notified
     */
    public CompositeAttemptObserver(List<AttemptObserver> observers) {
        this.observers = List.copyOf(observers);
    }

    @Override
    public void onAttemptEnded(
            CallTarget target, EndpointSnapshot endpoint, VersionId version, AttemptReport report) {
        observers.forEach(observer -> observer.onAttemptEnded(target, endpoint, version, report));
    }
}
