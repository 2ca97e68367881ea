package org.cardamomthread.membership.home;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.TreeMap;

/**
 * Tracks the requests that one gateway has in flight at one endpoint and may still start there.
 *
 * <p>Invariant: {@link #maxInFlight()} is at least the number of requests that the gateway has had
 * in flight at any time since its last demand, because a gateway starts requests only under an open
 * grant. Not thread-safe; the owning home synchronizes access.
 */
final class GatewayAccount {

    private static final long SAMPLE_RETENTION_MS = 5_000;

    private record Sample(long receivedMs, long started) {}

    /** The granted limits by the sequence of the demand that they answer. */
    private final TreeMap<Long, Integer> openGrantLimits = new TreeMap<>();

    private final Deque<Sample> samples = new ArrayDeque<>();
    private long started;
    private long finished;
    private int waiting;
    private int headroom;

    /** The time of the last grant that allowed the gateway to start a request. */
    private long lastCreditMs = Long.MIN_VALUE;

    private int descriptionSequence;

    void recordCounts(long newStarted, long newFinished, long nowMs) {
        started = newStarted;
        finished = newFinished;
        samples.addLast(new Sample(nowMs, newStarted));
        while (samples.size() > 1
                && samples.peekFirst().receivedMs() < nowMs - SAMPLE_RETENTION_MS) {
            samples.removeFirst();
        }
    }

    void recordDemand(int newWaiting, int newHeadroom, int newDescriptionSequence) {
        waiting = newWaiting;
        headroom = newHeadroom;
        descriptionSequence = newDescriptionSequence;
    }

    /** Records that a demand left out the endpoint, so nothing is in flight or waiting there. */
    void markIdle() {
        finished = started;
        waiting = 0;
        headroom = 0;
        descriptionSequence = 0;
    }

    /** Discards the grants that answer demands up to the given one, which are no longer used. */
    void closeGrants(long closedSequence) {
        openGrantLimits.headMap(closedSequence, true).clear();
    }

    void recordGrant(long demandSequence, int limit, long nowMs) {
        openGrantLimits.put(demandSequence, limit);
        if (limit > inFlight()) {
            lastCreditMs = nowMs;
        }
    }

    int inFlight() {
        return (int) Math.max(0, started - finished);
    }

    /** Returns the most requests in flight that the open grants and reported counts allow for. */
    int maxInFlight() {
        int limit = openGrantLimits.isEmpty() ? 0 : Collections.max(openGrantLimits.values());
        return Math.max(inFlight(), limit);
    }

    /** Returns the number of requests started, as last reported at or before the given time. */
    long startedCountAt(long atMs) {
        long startedCount = 0;
        for (Sample sample : samples) {
            if (sample.receivedMs() <= atMs) {
                startedCount = sample.started();
            }
        }
        return startedCount;
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

    long lastCreditMs() {
        return lastCreditMs;
    }

    int descriptionSequence() {
        return descriptionSequence;
    }
}
