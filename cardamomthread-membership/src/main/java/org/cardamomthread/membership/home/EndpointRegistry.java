package org.cardamomthread.membership.home;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;

/**
 * Holds the newest announcement of each endpoint that announces itself here.
 *
 * <p>Invariant: (incarnation, sequence) of an endpoint never goes back; late, repeated and crossed
 * announcements are ignored. Not safe for use by several threads; its home guards it.
 */
final class EndpointRegistry {

    private static final long FORGET_AFTER_MS = 600_000;

    private record Known(EndpointAnnouncement announcement, long receivedMs, long sinceMs) {}

    private final TimeSource time;
    private final long aliveMs;
    private final Map<EndpointId, Known> known = new HashMap<>();

    EndpointRegistry(TimeSource time, long aliveMs) {
        this.time = time;
        this.aliveMs = aliveMs;
    }

    boolean offer(EndpointAnnouncement announcement) {
        Known before = known.get(announcement.endpoint());
        if (before != null && !announcement.isNewerThan(before.announcement())) {
            return false;
        }
        long nowMs = time.monotonicMs();
        boolean sameIncarnation =
                before != null && before.announcement().incarnation() == announcement.incarnation();
        long sinceMs = sameIncarnation ? before.sinceMs() : nowMs;
        known.put(announcement.endpoint(), new Known(announcement, nowMs, sinceMs));
        return true;
    }

    Optional<EndpointStatus> status(EndpointId endpoint, boolean held) {
        long nowMs = time.monotonicMs();
        return Optional.ofNullable(known.get(endpoint))
                .map(
                        value ->
                                new EndpointStatus(
                                        value.announcement(),
                                        value.receivedMs(),
                                        value.sinceMs(),
                                        nowMs - value.receivedMs() <= aliveMs,
                                        held));
    }

    /** Tells whether an endpoint has been silent for so long that it may be dropped. */
    boolean isForgettable(EndpointId endpoint) {
        Known value = known.get(endpoint);
        return value == null || time.monotonicMs() - value.receivedMs() > FORGET_AFTER_MS;
    }

    void forget(EndpointId endpoint) {
        known.remove(endpoint);
    }
}
