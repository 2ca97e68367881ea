package org.cardamomthread.policy.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import org.cardamomthread.core.id.RouteId;

/**
 * Tracks how long the requests of each route have taken recently.
 *
 * <p>Invariant: a duration is remembered for at least {@value #PERIOD_MS} ms and at most twice as
 * long. Not thread-safe.
 */
public final class RouteDurations {

    /** Length of the current period; the longest duration of the previous one counts as well. */
    static final long PERIOD_MS = 30_000;

    private final Map<RouteId, Period> periods = new HashMap<>();

    /** Holds the longest durations of the current and of the previous period. */
    private static final class Period {
        private long startMs;
        private long longestMs;
        private OptionalLong previousLongestMs = OptionalLong.empty();

        Period(long startMs) {
            this.startMs = startMs;
        }

        void advanceTo(long nowMs) {
            if (nowMs - startMs < PERIOD_MS) {
                return;
            }
            boolean isAdjacent = nowMs - startMs < 2 * PERIOD_MS;
            previousLongestMs =
                    isAdjacent && longestMs > 0 ? OptionalLong.of(longestMs) : OptionalLong.empty();
            longestMs = 0;
            startMs = nowMs;
        }
    }

    /**
     * Records a request that was served completely.
     *
     * @param route its route
     * @param durationMs time from its receipt to the end of its response, in milliseconds
     * @param nowMs monotonic time, in milliseconds
     */
    public void record(RouteId route, long durationMs, long nowMs) {
        Objects.requireNonNull(route, "route must not be null");
        Period period = periods.computeIfAbsent(route, id -> new Period(nowMs));
        period.advanceTo(nowMs);
        period.longestMs = Math.max(period.longestMs, Math.max(1, durationMs));
    }

    /**
     * Returns the longest recent duration.
     *
     * @param route the route
     * @param nowMs monotonic time, in milliseconds
     * @return the duration in milliseconds, or empty if no request was served recently
     */
    public OptionalLong longestMs(RouteId route, long nowMs) {
        Period period = periods.get(route);
        if (period == null) {
            return OptionalLong.empty();
        }
        period.advanceTo(nowMs);
        long longestMs = Math.max(period.longestMs, period.previousLongestMs.orElse(0));
        return longestMs > 0 ? OptionalLong.of(longestMs) : OptionalLong.empty();
    }
}
