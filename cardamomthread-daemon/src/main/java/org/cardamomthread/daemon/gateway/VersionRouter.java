package org.cardamomthread.daemon.gateway;

import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.VersionId;

/** Selects the service version for an attempt. Thread-safe. */
public interface VersionRouter {

    /**
     * Selects the version for one attempt.
     *
     * @param target the target of the call
     * @param isRetry whether an earlier attempt failed, possibly because of a faulty new version
     * @param random divides the traffic between versions
     * @return the selected version
     */
    VersionId selectVersion(CallTarget target, boolean isRetry, RandomGenerator random);
}
