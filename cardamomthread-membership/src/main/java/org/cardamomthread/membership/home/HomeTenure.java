package org.cardamomthread.membership.home;

import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Decides whether this node may grant credits for one endpoint, from the announcements it received.
 *
 * <p>Each announcement reaches one home only, so the endpoint's own sequence numbers order the
 * homes that nodes with differing views choose. A node <em>acquires</em> an endpoint once it
 * received every announcement, without a gap, for {@link HomeSettings#acquisitionMs()}; it
 * <em>keeps</em> the endpoint while the last one is younger than {@link
 * HomeSettings#announcementValidityMs()}, gaps or not. While a node acquires, any earlier holder
 * receives nothing, so it has stopped granting and its last lease has run out.
 *
 * <p>Invariant: the leases of two nodes for one endpoint never overlap, as long as clocks keep to
 * the stated rate. Announcements that took longer than {@link HomeSettings#announcementDelayMs()}
 * are not counted. Not safe for use by several threads; the ledger guards it.
 */
final class HomeTenure {

    private final HomeSettings settings;
    private long incarnation = -1;
    private long sequence = -1;
    private long lastReceivedMs;
    private long unbrokenSinceMs;
    private boolean holder;
    private long acquiredMs;

    HomeTenure(HomeSettings settings) {
        this.settings = settings;
    }

    /** Takes an announcement that is newer than all before it. */
    void observe(EndpointAnnouncement announcement, long nowMs) {
        boolean first = incarnation < 0;
        boolean lapsed = nowMs - lastReceivedMs > settings.announcementValidityMs();
        if (first || lapsed) {
            holder = false;
            unbrokenSinceMs = nowMs;
        } else if (!follows(announcement) && !holder) {
            unbrokenSinceMs = nowMs;
        }
        incarnation = announcement.incarnation();
        sequence = announcement.sequence();
        lastReceivedMs = nowMs;
        if (!holder && nowMs - unbrokenSinceMs >= settings.acquisitionMs()) {
            holder = true;
            acquiredMs = nowMs;
        }
    }

    /** Tells whether this node may grant now. */
    boolean isHeld(long nowMs) {
        return holder && nowMs - lastReceivedMs <= settings.announcementValidityMs();
    }

    /** Returns when the present tenure began; meaningful only while held. */
    long acquiredMs() {
        return acquiredMs;
    }

    private boolean follows(EndpointAnnouncement announcement) {
        return announcement.incarnation() == incarnation && announcement.sequence() == sequence + 1;
    }
}
