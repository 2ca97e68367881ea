package org.cardamomthread.membership.home;

import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Represents a snapshot of what a home knows of an endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param announcement the newest announcement received
 * @param receivedMs the time of its receipt, on the home's monotonic clock
 * @param incarnationSinceMs the time when the first announcement of its incarnation was received,
 *     on the same clock
 * @param alive whether the announcement was received within the liveness timeout
 * @param owned whether this node owns the endpoint, that is, may grant credits for it
 */
public record HomeEndpointStatus(
        EndpointAnnouncement announcement,
        long receivedMs,
        long incarnationSinceMs,
        boolean alive,
        boolean owned) {}
