package org.cardamomthread.daemon.gateway;

import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.VersionId;

/** Chooses the version that serves a call. Safe for use by several threads. */
public interface VersionRouter {

    /**
     * Chooses a version for one attempt.
     *
     * @param target what the call is for
     * @param random source for the division of traffic
     * @return the version
     */
    VersionId choose(CallTarget target, RandomGenerator random);
}
