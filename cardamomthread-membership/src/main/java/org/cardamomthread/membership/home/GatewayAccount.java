package org.cardamomthread.membership.home;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.TreeMap;

/**
 * Holds what one gateway has in flight at one endpoint and may yet start.
 *
 * <p>Invariant: {@link #bound()} is at least the number of the gateway's requests in flight at any
 * time since its last demand, because it starts one only under a grant that is still open. Not safe
 * for use by several threads; the ledger guards it.
 */
final class GatewayAccount {

    private static final long SAMPLE_WINDOW_MS = 5_000;

    private record Sample(long receivedMs, long started) {}

    private final TreeMap<Long, Integer> openLimits = new TreeMap<>();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private long started;
    private long finished;
    private int waiting;
    private int headroom;
    private long lastServedMs = Long.MIN_VALUE;
    private int descriptionSequence;

    void report(long newStarted, long newFinished, long nowMs) {
        started = newStarted;
        finished = newFinished;
        samples.addLast(new Sample(nowMs, newStarted));
        while (samples.size() > 1 && samples.peekFirst().receivedMs() < nowMs - SAMPLE_WINDOW_MS) {
            samples.removeFirst();
        }
    }

    void want(int newWaiting, int newHeadroom, int newDescriptionSequence) {
        waiting = newWaiting;
        headroom = newHeadroom;
        descriptionSequence = newDescriptionSequence;
    }

    /** Records that a demand did not mention the endpoint: nothing is in flight or wanted there. */
    void clear() {
        finished = started;
        waiting = 0;
        headroom = 0;
        descriptionSequence = 0;
    }

    void close(long closedSequence) {
        openLimits.headMap(closedSequence, true).clear();
    }

    void grant(long demandSequence, int limit, long nowMs) {
        openLimits.put(demandSequence, limit);
        if (limit > inFlight()) {
            lastServedMs = nowMs;
        }
    }

    int inFlight() {
        return (int) Math.max(0, started - finished);
    }

    int bound() {
        int limit = openLimits.isEmpty() ? 0 : Collections.max(openLimits.values());
        return Math.max(inFlight(), limit);
    }

    /** Returns the requests started, as reported in a demand received at a time or before it. */
    long startedBy(long atMs) {
        long latest = 0;
        for (Sample sample : samples) {
            if (sample.receivedMs() <= atMs) {
                latest = sample.started();
            }
        }
        return latest;
    }

    long finished() {
        return finished;
    }

    int waiting() {
        return waiting;
    }

    int headroom() {
        return headroom;
    }

    long lastServedMs() {
        return lastServedMs;
    }

    int descriptionSequence() {
        return descriptionSequence;
    }
}
