package org.cardamomthread.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Bounded queue of the messages to be written to one peer.
 *
 * <p>Invariant: neither the number of messages nor their total size exceeds its limit; requests are
 * never evicted to make room. Thread-safe.
 */
final class SendQueue {

    private final int maxMessages;
    private final int maxBytes;
    private final ArrayDeque<QueuedMessage> queue = new ArrayDeque<>();
    private long queuedBytes;
    private volatile int size;

    SendQueue(int maxMessages, int maxBytes) {
        this.maxMessages = maxMessages;
        this.maxBytes = maxBytes;
    }

    /**
     * Appends a message and evicts the oldest one-way messages if needed to make room.
     *
     * @return the messages that were dropped, including the new one if there is no room for it
     */
    synchronized List<QueuedMessage> offer(QueuedMessage added) {
        List<QueuedMessage> dropped = new ArrayList<>();
        Iterator<QueuedMessage> oldest = queue.iterator();
        while (!fits(added) && oldest.hasNext()) {
            QueuedMessage candidate = oldest.next();
            if (candidate.isOneWay()) {
                oldest.remove();
                queuedBytes -= candidate.payload().length;
                dropped.add(candidate);
            }
        }
        if (fits(added)) {
            queue.add(added);
            queuedBytes += added.payload().length;
        } else {
            dropped.add(added);
        }
        size = queue.size();
        return dropped;
    }

    /** Removes and returns the first message, or returns null if the queue is empty. */
    synchronized QueuedMessage poll() {
        QueuedMessage first = queue.poll();
        if (first != null) {
            queuedBytes -= first.payload().length;
            size = queue.size();
        }
        return first;
    }

    /** Removes and returns all messages that match the predicate. */
    synchronized List<QueuedMessage> removeAll(Predicate<QueuedMessage> predicate) {
        List<QueuedMessage> removed = queue.stream().filter(predicate).toList();
        queue.removeIf(predicate);
        for (QueuedMessage message : removed) {
            queuedBytes -= message.payload().length;
        }
        size = queue.size();
        return removed;
    }

    int size() {
        return size;
    }

    boolean isEmpty() {
        return size == 0;
    }

    private boolean fits(QueuedMessage added) {
        return queue.size() < maxMessages && queuedBytes + added.payload().length <= maxBytes;
    }
}
