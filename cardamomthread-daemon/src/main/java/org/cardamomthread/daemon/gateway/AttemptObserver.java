package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.membership.gateway.AvailableEndpoint;

/** Hears how attempts on endpoints went. Implementations must not block. */
public interface AttemptObserver {

    /**
     * Hears how an attempt went.
     *
     * @param target what the call is for
     * @param endpoint the endpoint as it was known when it was chosen
     * @param version the version that served it
     * @param report what was seen
     */
    void report(
            CallTarget target, AvailableEndpoint endpoint, VersionId version, AttemptReport report);
}
