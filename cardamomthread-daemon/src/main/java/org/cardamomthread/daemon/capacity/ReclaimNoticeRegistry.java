package org.cardamomthread.daemon.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;

/**
 * Remembers which endpoints have a notice of reclaim.
 *
 * <p>Invariant: a notice is kept until some minutes after its time, however often it is heard, so
 * that an endpoint whose host is late to go gets no new work. Safe for use by several threads.
 */
public final class ReclaimNoticeRegistry {

    private static final long RETENTION_AFTER_RECLAIM_MS = 300_000;

    private final TimeSource timeSource;
    private final Map<EndpointId, ReclaimNotice> notices = new HashMap<>();

    /**
     * Creates an empty register.
     *
     * @param timeSource the node's clock
     */
    public ReclaimNoticeRegistry(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Takes a notice.
     *
     * @param notice the notice
     */
    public synchronized void add(ReclaimNotice notice) {
        if (!isExpired(notice)) {
            notices.put(notice.endpoint(), notice);
        }
    }

    /**
     * Tells whether an endpoint must get no new work.
     *
     * @param endpoint the endpoint
     * @return true if its host has a notice
     */
    public synchronized boolean hasNotice(EndpointId endpoint) {
        ReclaimNotice notice = notices.get(endpoint);
        return notice != null && !isExpired(notice);
    }

    /**
     * Returns the notices that still hold.
     *
     * @return a snapshot
     */
    public synchronized List<ReclaimNotice> list() {
        notices.values().removeIf(this::isExpired);
        return List.copyOf(notices.values());
    }

    private boolean isExpired(ReclaimNotice notice) {
        return timeSource.millis() > notice.reclaimAtMs() + RETENTION_AFTER_RECLAIM_MS;
    }
}
