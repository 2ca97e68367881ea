package org.cardamomthread.membership.home;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates how old an announcement was at its receipt, by comparing the endpoint's wall clock with
 * the local monotonic clock over a window.
 *
 * <p>The age is relative to the fastest announcement of the window, so a constant difference
 * between the clocks does not matter and a step of the endpoint's clock is forgotten with the
 * window. Not safe for use by several threads; the ledger guards it.
 */
final class AnnouncementAge {

    private static final long WINDOW_MS = 30_000;

    private record Sample(long receivedMs, long offsetMs) {}

    private final Deque<Sample> samples = new ArrayDeque<>();

    /**
     * Adds an announcement.
     *
     * @return its age in milliseconds at the time of receipt, at least zero
     */
    long observe(long atMs, long receivedMs) {
        while (!samples.isEmpty() && samples.peekFirst().receivedMs() < receivedMs - WINDOW_MS) {
            samples.removeFirst();
        }
        long offsetMs = atMs - receivedMs;
        while (!samples.isEmpty() && samples.peekLast().offsetMs() <= offsetMs) {
            samples.removeLast();
        }
        samples.addLast(new Sample(receivedMs, offsetMs));
        return samples.peekFirst().offsetMs() - offsetMs;
    }
}
