package org.cardamomthread.daemon.gateway;

import org.cardamomthread.policy.admission.QueuedRequest;

/**
 * Holds one attempt that waits for an endpoint.
 *
 * @param request what the attempt needs
 * @param listener hears the result
 * @param queued its place in the queue
 */
record WaitingCall(PlacementRequest request, PlacementListener listener, QueuedRequest queued) {}
