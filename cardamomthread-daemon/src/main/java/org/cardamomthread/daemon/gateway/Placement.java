package org.cardamomthread.daemon.gateway;

/**
 * Reserves an endpoint for each attempt.
 *
 * <p>Thread-safe.
 */
interface Placement {

    /**
     * Reserves an endpoint, waiting until one can accept another request.
     *
     * @param request the requirements of the attempt
     * @param listener is notified of the result exactly once, possibly before this method returns,
     *     unless the wait is cancelled first
     * @return a handle that cancels the wait
     */
    PendingPlacement place(PlacementRequest request, PlacementListener listener);
}
