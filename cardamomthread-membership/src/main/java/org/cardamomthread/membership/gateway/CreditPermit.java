package org.cardamomthread.membership.gateway;

import org.cardamomthread.core.id.EndpointId;

/**
 * Permits one request to an endpoint. It uses one credit from before the first byte of the request
 * is sent until it is released.
 *
 * <p>Implementations are thread-safe.
 */
public interface CreditPermit {

    /**
     * Returns the endpoint that the request may be sent to.
     *
     * @return the id of the endpoint
     */
    EndpointId endpoint();

    /**
     * Returns the incarnation of the endpoint for which the credit was granted.
     *
     * @return the incarnation number
     */
    long endpointIncarnation();

    /**
     * Returns whether the request may still be started. Must be checked immediately before the
     * first byte is written.
     *
     * @return false once the lease has expired or the credit was released
     */
    boolean maySend();

    /** Releases the credit because the request has ended. Further calls have no effect. */
    void release();
}
