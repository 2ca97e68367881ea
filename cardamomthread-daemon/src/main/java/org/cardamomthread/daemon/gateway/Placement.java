package org.cardamomthread.daemon.gateway;

/**
 * Finds an endpoint for each attempt.
 *
 * <p>Safe for use by several threads.
 */
interface Placement {

    /**
     * Waits for an endpoint that may take one more request.
     *
     * @param request what the attempt needs
     * @param listener hears the result exactly once, perhaps before this method returns
     * @return the means to stop waiting
     */
    PlacementTicket place(PlacementRequest request, PlacementListener listener);
}
