package org.cardamomthread.transport;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Requests that were dispatched and are waiting for a response, by request number.
 *
 * <p>Invariant: each request is removed exactly once, with its outcome. Confined to the event loop
 * of the transport, except for {@link #size()}, which is thread-safe.
 */
final class PendingRequests {

    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private long nextId = 1;
    private volatile int size;

    /** Adds a request and returns its number. */
    long add(PendingRequest request) {
        long id = nextId;
        nextId++;
        requests.put(id, request);
        size = requests.size();
        return id;
    }

    /** Removes and returns a request, or returns null if it is no longer pending. */
    PendingRequest remove(long id) {
        PendingRequest request = requests.remove(id);
        size = requests.size();
        return request;
    }

    void expire(long nowMs) {
        if (size == 0) {
            return;
        }
        Iterator<PendingRequest> iterator = requests.values().iterator();
        while (iterator.hasNext()) {
            PendingRequest request = iterator.next();
            if (nowMs >= request.deadlineMs()) {
                iterator.remove();
                request.failUnknown("no response arrived within its timeout");
            }
        }
        size = requests.size();
    }

    void failAll(String reason) {
        Map<Long, PendingRequest> failed = new HashMap<>(requests);
        requests.clear();
        size = 0;
        failed.values().forEach(request -> request.failUnknown(reason));
    }

    int size() {
        return size;
    }
}
