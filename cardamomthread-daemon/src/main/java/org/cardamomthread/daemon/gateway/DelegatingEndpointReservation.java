package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;

/** Delegates all methods to another reservation. Thread-safe if the delegate is. */
abstract class DelegatingEndpointReservation implements EndpointReservation {

    private final EndpointReservation delegate;

    DelegatingEndpointReservation(EndpointReservation delegate) {
        this.delegate = delegate;
    }

    @Override
    public EndpointId getEndpoint() {
        return delegate.getEndpoint();
    }

    @Override
    public long getIncarnation() {
        return delegate.getIncarnation();
    }

    @Override
    public String getAddress() {
        return delegate.getAddress();
    }

    @Override
    public VersionId getVersion() {
        return delegate.getVersion();
    }

    @Override
    public boolean isCanary() {
        return delegate.isCanary();
    }

    @Override
    public boolean canResume() {
        return delegate.canResume();
    }

    @Override
    public boolean maySend() {
        return delegate.maySend();
    }

    @Override
    public void release(AttemptReport report) {
        delegate.release(report);
    }
}
