package org.cardamomthread.daemon.gateway;

import org.cardamomthread.policy.admission.QueuedRequest;

/**
 * Represents an attempt that waits for an endpoint.
 *
 * @param request the requirements of the attempt
 * @param listener is notified of the result
 * @param queueEntry the entry by which the fair queue orders the attempt
 */
record QueuedAttempt(
        PlacementRequest request, PlacementListener listener, QueuedRequest queueEntry) {}
