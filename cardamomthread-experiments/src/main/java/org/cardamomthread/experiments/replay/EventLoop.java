package org.cardamomthread.experiments.replay;

import java.util.PriorityQueue;

/** Runs scheduled actions in order of their virtual time. Not thread-safe. */
final class EventLoop {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMs;
    private long nextSequence;

    long nowMs() {
        return nowMs;
    }

    void scheduleAt(long atMs, Runnable action) {
        events.add(new Event(Math.max(nowMs, atMs), nextSequence++, action));
    }

    void scheduleAfter(long delayMs, Runnable action) {
        scheduleAt(nowMs + delayMs, action);
    }

    void scheduleEvery(long periodMs, long untilMs, Runnable action) {
        scheduleAfter(
                periodMs,
                () -> {
                    action.run();
                    if (nowMs + periodMs <= untilMs) {
                        scheduleEvery(periodMs, untilMs, action);
                    }
                });
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
    }

    /** An action with its time and a sequence number that orders actions of the same time. */
    private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }
}
