package org.cardamomthread.daemon.start;

import java.util.EnumMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides whether and when a failed start is tried again. Not thread-safe.
 *
 * <p>The first seconds of a process meet states that pass by themselves: a settings file that is
 * still being written, an address or a data folder that another process still holds, a disk that is
 * full for a moment. A process that ends at these is started again at once and, after some rounds,
 * counts as broken. Settings that are invalid for good end it all the same.
 *
 * <p>Each kind of failure has its own period, counted from its first occurrence, so that one that
 * follows another is waited for as well.
 */
final class StartRetryPolicy {

    /** Writing a settings file takes milliseconds, also on a busy host. */
    static final long INVALID_SETTINGS_PERIOD_MS = 3_000;

    /**
     * Default period for addresses and data folders: longer than the 60 s for which the operating
     * system holds the address of a client's connection that was closed.
     */
    static final long DEFAULT_RESOURCE_PERIOD_MS = 75_000;

    /** Time for which memory, threads or file descriptors may be short. */
    static final long INTERNAL_FAILURE_PERIOD_MS = 15_000;

    static final long MIN_DELAY_MS = 50;
    static final long MAX_DELAY_MS = 1_000;
    private static final int MAX_DOUBLINGS = 10;

    /** Holds the failures of one kind. */
    private static final class FailureSeries {
        private final long firstMs;
        private int count;

        FailureSeries(long firstMs) {
            this.firstMs = firstMs;
        }
    }

    private final long resourcePeriodMs;
    private final Map<DaemonExitCode, FailureSeries> seriesByKind =
            new EnumMap<>(DaemonExitCode.class);

    /**
     * Creates a policy.
     *
     * @param resourcePeriodMs how long addresses and data folders are waited for, in milliseconds
     */
    StartRetryPolicy(long resourcePeriodMs) {
        this.resourcePeriodMs = resourcePeriodMs;
    }

    /**
     * Records a failed attempt and returns the delay before the next one.
     *
     * @param failure what the attempt failed with
     * @param nowMs monotonic time, in milliseconds
     * @return the delay in milliseconds, or empty if the process is to exit
     */
    OptionalLong recordFailure(DaemonExitCode failure, long nowMs) {
        FailureSeries series =
                seriesByKind.computeIfAbsent(failure, kind -> new FailureSeries(nowMs));
        int doublings = Math.min(series.count++, MAX_DOUBLINGS);
        long remainingMs = series.firstMs + retryPeriodMs(failure) - nowMs;
        if (remainingMs <= 0) {
            return OptionalLong.empty();
        }
        long delayMs = Math.min(MIN_DELAY_MS << doublings, MAX_DELAY_MS);
        return OptionalLong.of(Math.min(delayMs, remainingMs));
    }

    private long retryPeriodMs(DaemonExitCode failure) {
        return switch (failure) {
            case INVALID_SETTINGS -> INVALID_SETTINGS_PERIOD_MS;
            case LISTEN_FAILURE, STORAGE_FAILURE -> resourcePeriodMs;
            case INTERNAL_FAILURE -> INTERNAL_FAILURE_PERIOD_MS;
            case STOPPED, STOPPED_WITH_OPEN_REQUESTS -> 0;
        };
    }
}
