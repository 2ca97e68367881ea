package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.gateway.EndpointSnapshot;

/** Is notified of the result of each attempt on an endpoint. Implementations must not block. */
public interface AttemptObserver {

    /**
     * Called once when an attempt has ended.
     *
     * @param target the target of the call
     * @param endpoint the endpoint's state at the time it was selected
     * @param version the version to which the attempt was sent
     * @param report the result and timing of the attempt
     */
    void onAttemptEnded(
            CallTarget target, EndpointSnapshot endpoint, VersionId version, AttemptReport report);
}
