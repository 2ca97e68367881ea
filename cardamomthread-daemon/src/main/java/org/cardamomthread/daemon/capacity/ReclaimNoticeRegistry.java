package org.cardamomthread.daemon.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.time.TimeSource;

/**
 * Stores which endpoints have a reclaim notice.
 *
 * <p>Invariant: a notice is kept until 5 minutes after its reclaim time, however often it is
 * received, so that an endpoint whose host is reclaimed late gets no new work. Thread-safe.
 */
public final class ReclaimNoticeRegistry {

    private static final long RETENTION_AFTER_RECLAIM_MS = 300_000;

    private final TimeSource timeSource;
    private final Map<EndpointId, ReclaimNotice> notices = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param timeSource the node's clock
     */
    public ReclaimNoticeRegistry(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Adds a notice, replacing an earlier one for the same endpoint; ignores an expired notice.
     *
     * @param notice the notice
     */
    public synchronized void add(ReclaimNotice notice) {
        if (!isExpired(notice)) {
            notices.put(notice.endpoint(), notice);
        }
    }

    /**
     * Returns whether an endpoint must get no new work because its host will be reclaimed.
     *
     * @param endpoint the endpoint
     * @return true if its host has a notice that has not expired
     */
    public synchronized boolean hasNotice(EndpointId endpoint) {
        ReclaimNotice notice = notices.get(endpoint);
        return notice != null && !isExpired(notice);
    }

    /**
     * Returns the notices that have not expired.
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
