package org.cardamomthread.daemon.gateway;

import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;

/** Chooses the version that serves a call. Safe for use by several threads. */
public interface VersionRouter {

    /**
     * Chooses a version for one attempt.
     *
     * @param service the service of the call
     * @param random source for the division of traffic
     * @return the version
     */
    VersionId choose(ServiceId service, RandomGenerator random);
}
