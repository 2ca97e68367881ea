package org.cardamomthread.policy.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Delays further requests for kinds of host that the platform refused to start, so that other kinds
 * are requested first.
 *
 * <p>The backoff doubles with each consecutive refusal up to a maximum and is reset by a successful
 * start. Thread-safe: all methods synchronize on the object.
 */
public final class RefusalBackoff {

    private final long initialBackoffMs;
    private final long maxBackoffMs;
    private final Map<HostOffer.Kind, Backoff> backoffs = new HashMap<>();

    /**
     * Creates a backoff without any refusals.
     *
     * @param initialBackoffMs backoff after the first refusal, in milliseconds, above zero
     * @param maxBackoffMs maximum backoff, in milliseconds, at least the initial one
     */
    public RefusalBackoff(long initialBackoffMs, long maxBackoffMs) {
        if (initialBackoffMs <= 0 || maxBackoffMs < initialBackoffMs) {
            throw new IllegalArgumentException(
                    "initialBackoffMs must be greater than 0 and maxBackoffMs not below it, got "
                            + initialBackoffMs
                            + " and "
                            + maxBackoffMs);
        }
        this.initialBackoffMs = initialBackoffMs;
        this.maxBackoffMs = maxBackoffMs;
    }

    /**
     * Records that the platform refused to start a host.
     *
     * @param kind kind of host
     * @param nowMs monotonic time, in milliseconds
     */
    public synchronized void onRefused(HostOffer.Kind kind, long nowMs) {
        Backoff previous = backoffs.get(kind);
        long durationMs =
                previous == null
                        ? initialBackoffMs
                        : Math.min(maxBackoffMs, 2 * previous.durationMs());
        backoffs.put(kind, new Backoff(durationMs, nowMs + durationMs));
    }

    /**
     * Records that a host was started.
     *
     * @param kind kind of host
     */
    public synchronized void onAccepted(HostOffer.Kind kind) {
        backoffs.remove(kind);
    }

    /**
     * Returns whether a kind of host may be requested.
     *
     * @param kind kind of host
     * @param nowMs monotonic time, in milliseconds
     * @return false during the backoff
     */
    public synchronized boolean mayRequest(HostOffer.Kind kind, long nowMs) {
        Backoff backoff = backoffs.get(kind);
        return backoff == null || nowMs >= backoff.untilMs();
    }

    /** Holds the current backoff of one kind of host. Immutable. */
    private record Backoff(long durationMs, long untilMs) {}
}
