package org.cardamomthread.policy.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.function.ObjDoubleConsumer;

/**
 * Holds the waiting requests of one client account and the virtual time of the first. Not
 * thread-safe; used only by {@link WeightedFairQueue}.
 */
final class AccountQueue {

    private final double weight;
    private final Deque<QueuedRequest> requests = new ArrayDeque<>();
    private double headVirtualStart;
    private double queuedCost;

    AccountQueue(double weight, double virtualTime) {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight " + weight + " must be greater than 0");
        }
        this.weight = weight;
        this.headVirtualStart = virtualTime;
    }

    void add(QueuedRequest request) {
        requests.addLast(request);
        queuedCost += request.cost();
    }

    /** Returns the virtual start time of the oldest request. */
    double headVirtualStart() {
        return headVirtualStart;
    }

    /** Returns the virtual finish time of the oldest request. */
    double headVirtualFinish() {
        return headVirtualStart + requests.getFirst().cost() / weight;
    }

    QueuedRequest removeOldest() {
        headVirtualStart = headVirtualFinish();
        QueuedRequest request = requests.removeFirst();
        queuedCost -= request.cost();
        return request;
    }

    QueuedRequest removeNewest() {
        QueuedRequest request = requests.removeLast();
        queuedCost -= request.cost();
        return request;
    }

    List<QueuedRequest> removeExpired(long nowMs) {
        List<QueuedRequest> expired = new ArrayList<>();
        Iterator<QueuedRequest> iterator = requests.iterator();
        while (iterator.hasNext()) {
            QueuedRequest request = iterator.next();
            if (request.latestStartMs() <= nowMs) {
                iterator.remove();
                queuedCost -= request.cost();
                expired.add(request);
            }
        }
        return expired;
    }

    /** Removes a request from any position; returns false if it does not wait here. */
    boolean remove(QueuedRequest request) {
        boolean isRemoved = requests.remove(request);
        if (isRemoved) {
            queuedCost -= request.cost();
        }
        return isRemoved;
    }

    /** Returns the virtual finish time that a request added now would have. */
    double virtualFinishOf(QueuedRequest request) {
        return headVirtualStart + (queuedCost + request.cost()) / weight;
    }

    /**
     * Estimates how many of the waiting requests finish up to a virtual time, from their mean cost.
     */
    double estimateFinishedBy(double virtualTime) {
        double meanVirtualCost = queuedCost / weight / requests.size();
        double finished = Math.floor((virtualTime - headVirtualStart) / meanVirtualCost);
        return Math.max(0, Math.min(requests.size(), finished));
    }

    /** Passes each waiting request with its virtual finish time, the oldest first. */
    void forEach(ObjDoubleConsumer<QueuedRequest> action) {
        double virtualFinish = headVirtualStart;
        for (QueuedRequest request : requests) {
            virtualFinish += request.cost() / weight;
            action.accept(request, virtualFinish);
        }
    }

    QueuedRequest oldest() {
        return requests.getFirst();
    }

    int size() {
        return requests.size();
    }

    /** Returns the cost of the waiting requests divided by the weight of the account. */
    double weightedCost() {
        return queuedCost / weight;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }
}
