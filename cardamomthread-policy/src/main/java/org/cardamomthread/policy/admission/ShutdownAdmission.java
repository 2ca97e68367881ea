package org.cardamomthread.policy.admission;

import java.util.OptionalLong;
import org.cardamomthread.core.id.RouteId;

/**
 * Decides which requests a gateway still takes while it is being stopped.
 *
 * <p>It answers the load that arrives on open connections, and on new ones until the platform has
 * noticed the stop: a request is taken only if it is likely to end before the gateway does, so that
 * the others can be sent elsewhere at once instead of being cut off. Not thread-safe.
 */
public final class ShutdownAdmission {

    /** Allows for a request that takes longer than the recent ones of its route. */
    private static final double DURATION_MARGIN = 1.25;

    private final RouteDurations durations;
    private OptionalLong endMs = OptionalLong.empty();

    /**
     * Creates an instance of a gateway that is not being stopped.
     *
     * @param durations the durations of recent requests
     */
    public ShutdownAdmission(RouteDurations durations) {
        this.durations = durations;
    }

    /**
     * Begins the stop, or brings its end forward.
     *
     * @param newEndMs when the open requests are ended, in monotonic milliseconds
     */
    public void stopAt(long newEndMs) {
        endMs = OptionalLong.of(Math.min(newEndMs, endMs.orElse(newEndMs)));
    }

    /**
     * Returns whether a request may be taken.
     *
     * @param route its route
     * @param timeLimitMs the longest time that it may take, in milliseconds
     * @param nowMs monotonic time, in milliseconds
     * @return true if the gateway is not being stopped, or if the request is likely to end before
     */
    public boolean mayTake(RouteId route, long timeLimitMs, long nowMs) {
        if (endMs.isEmpty()) {
            return true;
        }
        long remainingMs = endMs.getAsLong() - nowMs;
        if (remainingMs <= 0) {
            return false;
        }
        OptionalLong longestMs = durations.longestMs(route, nowMs);
        double expectedMs =
                longestMs.isPresent()
                        ? Math.min(timeLimitMs, longestMs.getAsLong() * DURATION_MARGIN)
                        : timeLimitMs;
        return expectedMs <= remainingMs;
    }
}
