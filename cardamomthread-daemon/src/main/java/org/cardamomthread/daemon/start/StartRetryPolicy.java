package org.cardamomthread.daemon.start;

import java.util.OptionalLong;

/**
 * Decides whether and when a failed start is tried again. Immutable.
 *
 * <p>The first seconds of a process meet states that pass by themselves: a settings file that is
 * still being written, an address or a data folder that a process that ends still holds, a disk
 * that is full for a moment. A process that ends at these is started again at once and, after some
 * rounds, counts as broken. Settings that are invalid for good end it all the same.
 */
final class StartRetryPolicy {

    /** Writing a settings file takes milliseconds, also on a busy host. */
    static final long INVALID_SETTINGS_PERIOD_MS = 3_000;

    /**
     * Longer than the shutdown timeout of the usual settings, in which the process before this one
     * still holds its addresses and its data folder.
     */
    static final long RESOURCE_PERIOD_MS = 15_000;

    static final long MIN_DELAY_MS = 50;
    static final long MAX_DELAY_MS = 1_000;

    /**
     * Returns the delay before the next attempt.
     *
     * @param failure what the last attempt failed with
     * @param failures the number of failed attempts, 1 or more
     * @param sinceFirstFailureMs time since the first failed attempt
     * @return the delay in milliseconds, or empty if the process is to exit
     */
    OptionalLong delayBeforeRetryMs(
            DaemonExitCode failure, int failures, long sinceFirstFailureMs) {
        long remainingMs = retryPeriodMs(failure) - sinceFirstFailureMs;
        if (remainingMs <= 0) {
            return OptionalLong.empty();
        }
        long delayMs = MIN_DELAY_MS << Math.min(failures - 1, Long.SIZE / 4);
        return OptionalLong.of(Math.min(Math.min(delayMs, MAX_DELAY_MS), remainingMs));
    }

    private static long retryPeriodMs(DaemonExitCode failure) {
        return switch (failure) {
            case INVALID_SETTINGS -> INVALID_SETTINGS_PERIOD_MS;
            case LISTEN_FAILURE, STORAGE_FAILURE -> RESOURCE_PERIOD_MS;
            default -> 0;
        };
    }
}
