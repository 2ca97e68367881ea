package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;

/**
 * Reserves an endpoint for one attempt.
 *
 * <p>Thread-safe; only the first release has an effect.
 */
interface EndpointReservation {

    /**
     * Returns the reserved endpoint.
     *
     * @return the identifier of the endpoint
     */
    EndpointId getEndpoint();

    /**
     * Returns the incarnation of the endpoint.
     *
     * @return a number that changes with each start of the endpoint
     */
    long getIncarnation();

    /**
     * Returns the network address of the endpoint.
     *
     * @return {@code host:port}
     */
    String getAddress();

    /**
     * Returns the service version that the endpoint is to run.
     *
     * @return the version to request
     */
    VersionId getVersion();

    /**
     * Returns whether the version is the canary of a version move.
     *
     * @return true if a retry would go to another version
     */
    boolean isCanary();

    /**
     * Returns whether the endpoint can resume a response after delivered text.
     *
     * @return true if the endpoint announces the capability
     */
    boolean canResume();

    /**
     * Returns whether the attempt may still be sent. Must be called immediately before its first
     * byte is sent.
     *
     * @return false once the lease of the reservation has expired
     */
    boolean maySend();

    /**
     * Releases the reservation and reports the result of the attempt.
     *
     * @param report the result and timing of the attempt
     */
    void release(AttemptReport report);
}
