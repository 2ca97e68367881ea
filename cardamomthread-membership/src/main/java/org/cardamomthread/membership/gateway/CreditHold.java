package org.cardamomthread.membership.gateway;

import org.cardamomthread.core.id.EndpointId;

/**
 * Stands for one request in flight at an endpoint, from before its first byte until its end.
 *
 * <p>Safe for use by several threads.
 */
public interface CreditHold {

    /**
     * Returns the endpoint.
     *
     * @return its id
     */
    EndpointId endpoint();

    /**
     * Returns the incarnation of the endpoint that the credit was granted for.
     *
     * @return the incarnation
     */
    long endpointIncarnation();

    /**
     * Tells whether the request may still begin; to be asked right before the first byte is
     * written.
     *
     * @return false once the lease has run out or the hold was released
     */
    boolean mayStart();

    /** Ends the request's part in the count; further calls have no effect. */
    void release();
}
