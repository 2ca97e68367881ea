package org.cardamomthread.membership.home;

import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Tracks whether this node owns an endpoint, that is, whether it may grant credits for it, based on
 * the announcements received.
 *
 * <p>Nodes with different views of the cluster may choose different homes, but each announcement
 * reaches only one of them, so the endpoint's sequence numbers show whether another node received
 * any in between. A node <em>acquires</em> an endpoint once it received every announcement without
 * a gap for {@link HomeSettings#acquisitionWaitMs()}. It <em>keeps</em> the endpoint, in spite of
 * gaps, while its last announcement is younger than {@link HomeSettings#announcementValidityMs()}.
 * During the acquisition no announcement reaches a previous owner, which therefore stops granting
 * and whose last lease expires.
 *
 * <p>Invariant: the leases of two owners of an endpoint never overlap as long as all clocks stay
 * within {@link HomeSettings#maxClockDriftPerMille()}. Announcements older than {@link
 * HomeSettings#maxAnnouncementAgeMs()} at their receipt must not be passed to this class. Not
 * thread-safe; the owning home synchronizes access.
 */
final class HomeOwnership {

    private final HomeSettings settings;
    private long incarnation = -1;
    private long sequence = -1;
    private long lastReceivedMs;
    private long contiguousSinceMs;
    private boolean owner;
    private long acquiredMs;

    HomeOwnership(HomeSettings settings) {
        this.settings = settings;
    }

    /** Processes an announcement that is newer than all previous ones of the endpoint. */
    void onAnnouncement(EndpointAnnouncement announcement, long nowMs) {
        boolean first = incarnation < 0;
        boolean lapsed = nowMs - lastReceivedMs > settings.announcementValidityMs();
        if (first || lapsed) {
            owner = false;
            contiguousSinceMs = nowMs;
        } else if (!isNextInSequence(announcement) && !owner) {
            contiguousSinceMs = nowMs;
        }
        incarnation = announcement.incarnation();
        sequence = announcement.sequence();
        lastReceivedMs = nowMs;
        if (!owner && nowMs - contiguousSinceMs >= settings.acquisitionWaitMs()) {
            owner = true;
            acquiredMs = nowMs;
        }
    }

    /** Returns whether this node owns the endpoint now. */
    boolean isOwner(long nowMs) {
        return owner && nowMs - lastReceivedMs <= settings.announcementValidityMs();
    }

    /** Returns the time of the last acquisition, meaningful only while this node is the owner. */
    long acquiredMs() {
        return acquiredMs;
    }

    private boolean isNextInSequence(EndpointAnnouncement announcement) {
        return announcement.incarnation() == incarnation && announcement.sequence() == sequence + 1;
    }
}
