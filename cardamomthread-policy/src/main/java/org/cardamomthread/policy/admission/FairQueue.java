package org.cardamomthread.policy.admission;

import java.util.List;
import java.util.Optional;

/** Holds requests that wait for an endpoint and decides whose turn it is. */
public interface FairQueue {

    /**
     * Adds a request.
     *
     * @param request the request
     * @param nowMs monotonic time, in milliseconds
     * @return the requests that are refused for it: none, itself, or one that it displaces
     */
    List<AdmissionRefusal> offer(QueuedRequest request, long nowMs);

    /**
     * Takes the next request out.
     *
     * @return the request whose turn it is, or empty
     */
    Optional<QueuedRequest> poll();

    /**
     * Takes out the requests that can no longer start in time.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return their refusals
     */
    List<AdmissionRefusal> expire(long nowMs);

    /**
     * Returns the number of waiting requests.
     *
     * @return zero or more
     */
    int size();
}
