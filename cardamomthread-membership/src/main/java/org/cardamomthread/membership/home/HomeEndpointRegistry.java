package org.cardamomthread.membership.home;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Holds the newest announcement of each endpoint that announces itself to this node.
 *
 * <p>Invariant: the pair (incarnation, sequence) of an endpoint never decreases, so late, duplicate
 * and reordered announcements are ignored. Not thread-safe; the owning home synchronizes access.
 */
final class HomeEndpointRegistry {

    private static final long REMOVE_AFTER_SILENCE_MS = 600_000;

    private record Entry(
            EndpointAnnouncement announcement, long receivedMs, long incarnationSinceMs) {}

    private final TimeSource time;
    private final long livenessTimeoutMs;
    private final Map<EndpointId, Entry> entries = new HashMap<>();

    HomeEndpointRegistry(TimeSource time, long livenessTimeoutMs) {
        this.time = time;
        this.livenessTimeoutMs = livenessTimeoutMs;
    }

    /** Stores an announcement and returns true, or returns false if it is not newer. */
    boolean putIfNewer(EndpointAnnouncement announcement) {
        Entry previous = entries.get(announcement.endpoint());
        if (previous != null && !announcement.isNewerThan(previous.announcement())) {
            return false;
        }
        long nowMs = time.monotonicMs();
        boolean sameIncarnation =
                previous != null
                        && previous.announcement().incarnation() == announcement.incarnation();
        long incarnationSinceMs = sameIncarnation ? previous.incarnationSinceMs() : nowMs;
        entries.put(announcement.endpoint(), new Entry(announcement, nowMs, incarnationSinceMs));
        return true;
    }

    Optional<HomeEndpointStatus> status(EndpointId endpoint, boolean mayGrant) {
        long nowMs = time.monotonicMs();
        return Optional.ofNullable(entries.get(endpoint))
                .map(
                        entry ->
                                new HomeEndpointStatus(
                                        entry.announcement(),
                                        entry.receivedMs(),
                                        entry.incarnationSinceMs(),
                                        nowMs - entry.receivedMs() <= livenessTimeoutMs,
                                        mayGrant));
    }

    /** Returns whether an endpoint is unknown or has been silent for long enough to be removed. */
    boolean isRemovable(EndpointId endpoint) {
        Entry entry = entries.get(endpoint);
        return entry == null || time.monotonicMs() - entry.receivedMs() > REMOVE_AFTER_SILENCE_MS;
    }

    void remove(EndpointId endpoint) {
        entries.remove(endpoint);
    }
}
