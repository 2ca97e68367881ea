package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;

/** Forwards all methods to another permission. As safe for use by several threads as that one. */
abstract class ForwardingPlacedCall implements PlacedCall {

    private final PlacedCall delegate;

    ForwardingPlacedCall(PlacedCall delegate) {
        this.delegate = delegate;
    }

    @Override
    public EndpointId getEndpoint() {
        return delegate.getEndpoint();
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
    public boolean isTrial() {
        return delegate.isTrial();
    }

    @Override
    public boolean canResume() {
        return delegate.canResume();
    }

    @Override
    public boolean mayStart() {
        return delegate.mayStart();
    }

    @Override
    public void release(AttemptReport report) {
        delegate.release(report);
    }
}
