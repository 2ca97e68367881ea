package org.cardamomthread.policy.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;

/** Holds the waiting requests of one account with their virtual times. Guarded by the queue. */
final class AccountQueue {

    private final double weight;
    private final Deque<QueuedRequest> requests = new ArrayDeque<>();
    private double headStart;
    private double cost;

    AccountQueue(double weight, double virtualTime) {
        if (!(weight > 0)) {
            throw new IllegalArgumentException("weight " + weight + " must be above 0");
        }
        this.weight = weight;
        this.headStart = virtualTime;
    }

    void add(QueuedRequest request) {
        requests.addLast(request);
        cost += request.cost();
    }

    /** Returns the virtual time at which the oldest request starts. */
    double headStart() {
        return headStart;
    }

    /** Returns the virtual time at which the oldest request ends. */
    double headFinish() {
        return headStart + requests.getFirst().cost() / weight;
    }

    QueuedRequest removeOldest() {
        headStart = headFinish();
        QueuedRequest request = requests.removeFirst();
        cost -= request.cost();
        return request;
    }

    QueuedRequest removeYoungest() {
        QueuedRequest request = requests.removeLast();
        cost -= request.cost();
        return request;
    }

    List<QueuedRequest> removeLate(long nowMs) {
        List<QueuedRequest> late = new ArrayList<>();
        Iterator<QueuedRequest> iterator = requests.iterator();
        while (iterator.hasNext()) {
            QueuedRequest request = iterator.next();
            if (request.latestStartMs() <= nowMs) {
                iterator.remove();
                cost -= request.cost();
                late.add(request);
            }
        }
        return late;
    }

    /** Returns the waiting cost relative to the account's weight. */
    double relativeCost() {
        return cost / weight;
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }
}
