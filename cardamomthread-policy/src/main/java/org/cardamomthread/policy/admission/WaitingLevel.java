package org.cardamomthread.policy.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.ObjIntConsumer;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Holds the waiting requests of one priority level, and which part of its recent requests was
 * served. Not thread-safe; used only by {@link WaitingRoom}.
 */
final class WaitingLevel {

    /** Number of outcomes after which the earlier ones count half. */
    private static final int MAX_OUTCOMES = 64;

    private final WeightedFairQueue queue;
    private final Map<RequestId, WaitingRequest> requests = new HashMap<>();
    private final ShortestTolerance shortestTolerance = new ShortestTolerance();
    private double served;
    private double refused;
    private boolean hasTurn = true;

    WaitingLevel() {
        queue = new WeightedFairQueue(Integer.MAX_VALUE, account -> 1);
    }

    void add(WaitingRequest request) {
        requests.put(request.entry().id(), request);
        queue.add(request.entry());
    }

    /**
     * Returns how long a new request may wait: no longer than other recent ones of its account, in
     * milliseconds.
     */
    long maxWaitMs(WaitingRequest request, long nowMs) {
        long toleranceMs = Math.max(request.kindToleranceMs(), request.objectiveMs());
        return shortestTolerance.record(request.entry().account(), toleranceMs, nowMs);
    }

    /** Returns the waiting requests in no particular order. */
    Collection<WaitingRequest> requests() {
        return requests.values();
    }

    boolean remove(WaitingRequest request) {
        return queue.remove(request.entry()) && forget(request.entry()) != null;
    }

    WaitingRequest poll() {
        return forget(queue.poll().orElseThrow());
    }

    WaitingRequest peek() {
        return requests.get(queue.peek().orElseThrow().id());
    }

    /** Removes the newest request of the largest account; returns null if none waits. */
    WaitingRequest removeNewestOfLargest() {
        return queue.removeNewestOfLargest(Priority.URGENT).map(this::forget).orElse(null);
    }

    /** Removes the request that a new one of this level may displace; returns null if none. */
    WaitingRequest removeDisplacedBy(WaitingRequest request) {
        return queue.removeDisplacedBy(request.entry()).map(this::forget).orElse(null);
    }

    private WaitingRequest forget(QueuedRequest entry) {
        return requests.remove(entry.id());
    }

    int estimateAhead(WaitingRequest request) {
        return queue.estimateAhead(request.entry());
    }

    /** Passes each request with the estimated number of requests of this level before it. */
    void forEach(ObjIntConsumer<WaitingRequest> action) {
        queue.forEach(
                Priority.URGENT, (entry, ahead) -> action.accept(requests.get(entry.id()), ahead));
    }

    int size() {
        return queue.size();
    }

    void recordServed() {
        served++;
        limitOutcomes();
    }

    void recordRefused() {
        refused++;
        limitOutcomes();
    }

    private void limitOutcomes() {
        if (served + refused > MAX_OUTCOMES) {
            served /= 2;
            refused /= 2;
        }
    }

    /** Returns the part of the recent requests that was served; 1 if there were none. */
    double servedShare() {
        return (served + 1) / (served + refused + 1);
    }

    /** Returns whether this level may go before a more urgent one at its next turn. */
    boolean hasTurn() {
        return hasTurn;
    }

    void setTurn(boolean newHasTurn) {
        hasTurn = newHasTurn;
    }
}
