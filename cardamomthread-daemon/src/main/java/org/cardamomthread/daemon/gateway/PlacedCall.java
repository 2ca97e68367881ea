package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;

/**
 * Holds the permission to run one request on an endpoint.
 *
 * <p>Safe for use by several threads; releases count once.
 */
interface PlacedCall {

    /**
     * Returns the endpoint.
     *
     * @return its identifier
     */
    EndpointId getEndpoint();

    /**
     * Returns where the endpoint serves.
     *
     * @return {@code host:port}
     */
    String getAddress();

    /**
     * Returns the version to ask for.
     *
     * @return the version
     */
    VersionId getVersion();

    /**
     * Tells whether the version is one that a version move tries out.
     *
     * @return true if a further attempt would go to another version
     */
    boolean isTrial();

    /**
     * Tells whether the endpoint can go on from delivered text.
     *
     * @return true if it states the capability
     */
    boolean canResume();

    /**
     * Tells whether the attempt may still begin; to be asked right before its first byte is sent.
     *
     * @return false once the lease of the permission has run out
     */
    boolean mayStart();

    /**
     * Gives the permission back and records how the attempt went.
     *
     * @param report what was seen
     */
    void release(AttemptReport report);
}
