package org.cardamomthread.transport;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

/**
 * Queues what is to be written to one peer, within bounds.
 *
 * <p>Invariant: neither the number of messages nor their bytes exceed the bounds; requests are
 * never dropped to make room. Safe for use by several threads.
 */
final class Outbox {

    private final int maxMessages;
    private final int maxBytes;
    private final ArrayDeque<OutgoingMessage> queue = new ArrayDeque<>();
    private long bytes;
    private volatile int size;

    Outbox(int maxMessages, int maxBytes) {
        this.maxMessages = maxMessages;
        this.maxBytes = maxBytes;
    }

    /**
     * Adds a message at the end and drops the oldest one-way messages to make room.
     *
     * @return what was dropped; the new message itself if there is no room for it
     */
    synchronized List<OutgoingMessage> offer(OutgoingMessage added) {
        List<OutgoingMessage> dropped = new ArrayList<>();
        Iterator<OutgoingMessage> oldest = queue.iterator();
        while (!fits(added) && oldest.hasNext()) {
            OutgoingMessage candidate = oldest.next();
            if (candidate.isOneWay()) {
                oldest.remove();
                bytes -= candidate.payload().length;
                dropped.add(candidate);
            }
        }
        if (fits(added)) {
            queue.add(added);
            bytes += added.payload().length;
        } else {
            dropped.add(added);
        }
        size = queue.size();
        return dropped;
    }

    /** Removes and returns the first message, or null if there is none. */
    synchronized OutgoingMessage poll() {
        OutgoingMessage first = queue.poll();
        if (first != null) {
            bytes -= first.payload().length;
            size = queue.size();
        }
        return first;
    }

    /** Removes and returns all messages that match. */
    synchronized List<OutgoingMessage> removeAll(Predicate<OutgoingMessage> predicate) {
        List<OutgoingMessage> removed = queue.stream().filter(predicate).toList();
        queue.removeIf(predicate);
        for (OutgoingMessage outgoing : removed) {
            bytes -= outgoing.payload().length;
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

    private boolean fits(OutgoingMessage added) {
        return queue.size() < maxMessages && bytes + added.payload().length <= maxBytes;
    }
}
