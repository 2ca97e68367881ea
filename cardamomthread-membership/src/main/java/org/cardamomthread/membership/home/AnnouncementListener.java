package org.cardamomthread.membership.home;

import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Receives each announcement that a home accepts, for example to index cache events.
 *
 * <p>Called while the home holds its lock, on the thread that delivered the announcement, so
 * implementations must not block.
 */
@FunctionalInterface
public interface AnnouncementListener {

    /**
     * Handles an announcement that is newer than all previous ones of its endpoint.
     *
     * @param announcement the accepted announcement
     */
    void onAnnouncement(EndpointAnnouncement announcement);
}
