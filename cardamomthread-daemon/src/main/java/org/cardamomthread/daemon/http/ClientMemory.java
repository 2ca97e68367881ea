package org.cardamomthread.daemon.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cardamomthread.core.time.SystemTimeSource;
import org.cardamomthread.core.time.TimeSource;

/**
 * Bounds the bytes that a process holds for its clients, over all listeners.
 *
 * <p>Beyond the bound, the connection that has held the most for longest without progress is
 * evicted, until the rest is within the bound. Requests that a handler has taken count, but are not
 * evicted for their own bytes, since they may have run. Thread-safe; evicts without holding its
 * lock.
 */
public final class ClientMemory {

    /** A request body of the maximum length and its head always fit, also on the smallest heaps. */
    public static final long MIN_BYTES = 9 * 1024 * 1024;

    /** Estimated memory of an open connection that holds nothing, in bytes. */
    static final int CONNECTION_BYTES = 4 * 1024;

    /**
     * The other parts take the view with its routes, the components of the node, and copies of
     * bodies on their way to endpoints.
     */
    private static final int HEAP_PARTS = 3;

    /** Connections that made progress within this time are evicted after all others. */
    private static final long STALLED_AFTER_MS = 1_000;

    private final long maxBytes;
    private final TimeSource timeSource;
    private final Set<HeldMemory> connections = new HashSet<>();
    private long heldBytes;

    /**
     * Creates an empty budget.
     *
     * @param maxBytes the maximum number of bytes held for clients
     * @param timeSource the clock that measures the time without progress
     */
    public ClientMemory(long maxBytes, TimeSource timeSource) {
        this.maxBytes = maxBytes;
        this.timeSource = timeSource;
    }

    /** Creates a budget of the default size with the system's clock. */
    static ClientMemory createDefault() {
        return new ClientMemory(defaultMaxBytes(), new SystemTimeSource());
    }

    /**
     * Returns the size of a budget that leaves enough of the heap for everything else.
     *
     * @return a third of the maximum heap, in bytes, but at least what one request needs
     */
    public static long defaultMaxBytes() {
        return Math.max(MIN_BYTES, Runtime.getRuntime().maxMemory() / HEAP_PARTS);
    }

    /**
     * Returns the number of bytes that are held for clients.
     *
     * @return the number of bytes, including an estimate for each connection
     */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Adds a connection, which is evicted by the given action. */
    HeldMemory open(Runnable evict) {
        HeldMemory connection = new HeldMemory(this, evict, timeSource.monotonicMs());
        synchronized (this) {
            connections.add(connection);
        }
        update(connection, () -> {});
        return connection;
    }

    void close(HeldMemory connection) {
        synchronized (this) {
            if (connections.remove(connection)) {
                heldBytes -= connection.countedBytes();
            }
        }
    }

    long nowMs() {
        return timeSource.monotonicMs();
    }

    /** Applies a change to what a connection holds, and evicts others if that is too much. */
    void update(HeldMemory connection, Runnable change) {
        List<HeldMemory> evicted = new ArrayList<>();
        synchronized (this) {
            change.run();
            if (!connections.contains(connection)) {
                return;
            }
            heldBytes += connection.recount();
            while (heldBytes > maxBytes) {
                HeldMemory next = selectForEviction();
                if (next == null) {
                    break;
                }
                connections.remove(next);
                heldBytes -= next.countedBytes();
                evicted.add(next);
            }
        }
        evicted.forEach(HeldMemory::evict);
    }

    private HeldMemory selectForEviction() {
        long nowMs = timeSource.monotonicMs();
        HeldMemory selected = null;
        boolean isSelectedStalled = false;
        long maxByteMs = 0;
        for (HeldMemory connection : connections) {
            long withoutProgressMs = nowMs - connection.lastProgressMs() + 1;
            long byteMs = connection.evictableBytes() * withoutProgressMs;
            boolean isStalled = withoutProgressMs > STALLED_AFTER_MS;
            boolean isBefore =
                    isStalled == isSelectedStalled ? byteMs > maxByteMs : isStalled && byteMs > 0;
            if (isBefore) {
                selected = connection;
                isSelectedStalled = isStalled;
                maxByteMs = byteMs;
            }
        }
        return selected;
    }
}
