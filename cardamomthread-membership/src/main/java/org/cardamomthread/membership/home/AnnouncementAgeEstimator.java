package org.cardamomthread.membership.home;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates the age of an announcement at its receipt by comparing the endpoint's wall clock with
 * the local monotonic clock over a sliding window.
 *
 * <p>The age is relative to the fastest announcement in the window. A constant offset between the
 * clocks therefore has no effect, and a step of the endpoint's clock affects estimates only until
 * it leaves the window. Not thread-safe; the owning home synchronizes access.
 */
final class AnnouncementAgeEstimator {

    private static final long WINDOW_MS = 30_000;

    private record Sample(long receivedMs, long offsetMs) {}

    /** The samples in descending order of offset; the first one is the fastest in the window. */
    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * Adds an announcement to the window.
     *
     * @param measuredAtMs the time stamp of the announcement, on the endpoint's wall clock
     * @param receivedMs the time of receipt, on the local monotonic clock
     * @return the estimated age in milliseconds at the time of receipt, at least zero
     */
    long observe(long measuredAtMs, long receivedMs) {
        while (!samples.isEmpty() && samples.peekFirst().receivedMs() < receivedMs - WINDOW_MS) {
            samples.removeFirst();
        }
        long offsetMs = measuredAtMs - receivedMs;
        while (!samples.isEmpty() && samples.peekLast().offsetMs() <= offsetMs) {
            samples.removeLast();
        }
        samples.addLast(new Sample(receivedMs, offsetMs));
        return samples.peekFirst().offsetMs() - offsetMs;
    }
}
