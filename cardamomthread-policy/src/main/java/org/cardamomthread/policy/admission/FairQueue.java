package org.cardamomthread.policy.admission;

import java.util.List;
import java.util.Optional;

/** Holds requests that wait for an endpoint and determines the order in which they are served. */
public interface FairQueue {

    /**
     * Adds a request if there is room for it or if it displaces another one.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return refusals that result: none, that of the request itself, or that of a request which it
     *     displaced
     */
    List<AdmissionRefusal> offer(QueuedRequest request, long nowMs);

    /**
     * Removes and returns the next request.
     *
     * @return next request, or empty if none is waiting
     */
    Optional<QueuedRequest> poll();

    /**
     * Removes the requests that can no longer start in time.
     *
     * @param nowMs monotonic time, in milliseconds
     * @return refusals of the removed requests
     */
    List<AdmissionRefusal> expire(long nowMs);

    /**
     * Returns the number of waiting requests.
     *
     * @return number of requests, at least zero
     */
    int size();
}
