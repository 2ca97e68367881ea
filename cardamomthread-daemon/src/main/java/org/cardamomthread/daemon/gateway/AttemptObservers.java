package org.cardamomthread.daemon.gateway;

import java.util.List;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.gateway.AvailableEndpoint;

/** Tells several observers in turn. As safe for use by several threads as they are. */
public final class AttemptObservers implements AttemptObserver {

    private final List<AttemptObserver> observers;

    /**
     * Creates the group.
     *
     * @param observers the observers
     */
    public AttemptObservers(List<AttemptObserver> observers) {
        this.observers = List.copyOf(observers);
    }

    @Override
    public void report(
            CallTarget target,
            AvailableEndpoint endpoint,
            VersionId version,
            AttemptReport report) {
        observers.forEach(observer -> observer.report(target, endpoint, version, report));
    }
}
