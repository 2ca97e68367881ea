package org.cardamomthread.experiments.replay;

import java.util.PriorityQueue;

/** Runs actions in the order of a virtual clock. Not safe for use by several threads. */
final class EventLoop {

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowMs;
    private long scheduled;

    long nowMs() {
        return nowMs;
    }

    void at(long atMs, Runnable action) {
        events.add(new Event(Math.max(nowMs, atMs), scheduled++, action));
    }

    void after(long delayMs, Runnable action) {
        at(nowMs + delayMs, action);
    }

    void every(long periodMs, long untilMs, Runnable action) {
        after(
                periodMs,
                () -> {
                    action.run();
                    if (nowMs + periodMs <= untilMs) {
                        every(periodMs, untilMs, action);
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

    /** Holds an action and its place in time. Immutable. */
    private record Event(long atMs, long order, Runnable action) implements Comparable<Event> {

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
