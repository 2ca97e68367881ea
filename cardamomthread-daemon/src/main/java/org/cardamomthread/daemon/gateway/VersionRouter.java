package org.cardamomthread.daemon.gateway;

import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.VersionId;

/** Chooses the version that serves a call. Safe for use by several threads. */
public interface VersionRouter {

    /**
     * Chooses a version for one attempt.
     *
     * @param target what the call is for
     * @param isRetry whether an earlier attempt failed, perhaps by the fault of a new version
     * @param random source for the division of traffic
     * @return the version
     */
    VersionId choose(CallTarget target, boolean isRetry, RandomGenerator random);
}
