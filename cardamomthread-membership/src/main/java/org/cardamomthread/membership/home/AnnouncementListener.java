package org.cardamomthread.membership.home;

import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Hears of each accepted announcement, for example to index cache events. Called by the thread that
 * drives the home; must not block.
 */
@FunctionalInterface
public interface AnnouncementListener {

    /**
     * Takes an announcement that is newer than all before it.
     *
     * @param announcement the announcement
     */
    void accepted(EndpointAnnouncement announcement);
}
