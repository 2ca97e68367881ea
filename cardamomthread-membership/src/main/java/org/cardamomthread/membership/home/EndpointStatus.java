package org.cardamomthread.membership.home;

import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Shows what a home knows of an endpoint.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param announcement the newest announcement
 * @param receivedMs when it was received, on the home's monotonic clock
 * @param incarnationSinceMs when the first announcement of its incarnation was received, on the
 *     same clock
 * @param alive whether it was heard from recently
 * @param held whether this node may grant credits for it
 */
public record EndpointStatus(
        EndpointAnnouncement announcement,
        long receivedMs,
        long incarnationSinceMs,
        boolean alive,
        boolean held) {}
