package org.cardamomthread.daemon.view;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.registry.EndpointRegistry;

/**
 * Tells which endpoints that were lost with a request have not crashed, because they go on
 * reporting: their connections were reset or cut.
 *
 * <p>Invariants: at most {@value #MAX_ENDPOINTS} endpoints are watched, each for {@value
 * #WATCH_PERIOD_MS} ms. An endpoint counts as alive after {@value #REPORTS_OF_LIVE_ENDPOINT} new
 * reports, as the last ones before a crash may arrive late. Not thread-safe.
 */
final class LostEndpoints {

    static final int MAX_ENDPOINTS = 1_024;
    static final int REPORTS_OF_LIVE_ENDPOINT = 3;
    static final long WATCH_PERIOD_MS = 15_000;

    private final EndpointRegistry registry;
    private final TimeSource timeSource;
    private final Map<EndpointIncarnation, Watch> watches = new LinkedHashMap<>();

    private static final class Watch {
        private final long sinceMs;
        private long lastSequence;
        private int reports;

        Watch(long sinceMs, long lastSequence) {
            this.sinceMs = sinceMs;
            this.lastSequence = lastSequence;
        }
    }

    LostEndpoints(EndpointRegistry registry, TimeSource timeSource) {
        this.registry = registry;
        this.timeSource = timeSource;
    }

    /** Begins to watch an endpoint that was lost, unless it is watched already. */
    void watch(EndpointIncarnation incarnation) {
        if (watches.size() >= MAX_ENDPOINTS || watches.containsKey(incarnation)) {
            return;
        }
        registry.find(incarnation.endpoint())
                .filter(known -> EndpointIncarnation.of(known.report()).equals(incarnation))
                .ifPresent(
                        known ->
                                watches.put(
                                        incarnation,
                                        new Watch(
                                                timeSource.monotonicMs(),
                                                known.report().sequence())));
    }

    /** Returns the endpoints that have turned out to be alive, and ceases to watch them. */
    List<EndpointIncarnation> takeAlive() {
        long nowMs = timeSource.monotonicMs();
        List<EndpointIncarnation> alive = new ArrayList<>();
        Iterator<Map.Entry<EndpointIncarnation, Watch>> iterator = watches.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<EndpointIncarnation, Watch> entry = iterator.next();
            Watch watch = entry.getValue();
            countNewReport(entry.getKey(), watch);
            if (watch.reports >= REPORTS_OF_LIVE_ENDPOINT) {
                alive.add(entry.getKey());
                iterator.remove();
            } else if (nowMs - watch.sinceMs > WATCH_PERIOD_MS) {
                iterator.remove();
            }
        }
        return alive;
    }

    private void countNewReport(EndpointIncarnation incarnation, Watch watch) {
        registry.find(incarnation.endpoint())
                .filter(known -> EndpointIncarnation.of(known.report()).equals(incarnation))
                .filter(known -> known.report().sequence() > watch.lastSequence)
                .ifPresent(
                        known -> {
                            watch.lastSequence = known.report().sequence();
                            watch.reports++;
                        });
    }
}
