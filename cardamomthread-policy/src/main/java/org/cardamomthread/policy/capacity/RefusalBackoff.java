package org.cardamomthread.policy.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Remembers which kinds of host the platform refused to start, so that others are asked for first.
 *
 * <p>The pause doubles with each refusal in a row up to the longest pause and ends with a start.
 * Safe for use by several threads; all methods lock the object.
 */
public final class RefusalBackoff {

    private final long firstPauseMs;
    private final long longestPauseMs;
    private final Map<HostOffer.Kind, Pause> pauses = new HashMap<>();

    /**
     * Creates an object that knows no refusals.
     *
     * @param firstPauseMs pause after the first refusal, in milliseconds, above zero
     * @param longestPauseMs longest pause, in milliseconds, at least the first
     */
    public RefusalBackoff(long firstPauseMs, long longestPauseMs) {
        if (firstPauseMs <= 0 || longestPauseMs < firstPauseMs) {
            throw new IllegalArgumentException(
                    "firstPauseMs must be above 0 and longestPauseMs not below it, got "
                            + firstPauseMs
                            + " and "
                            + longestPauseMs);
        }
        this.firstPauseMs = firstPauseMs;
        this.longestPauseMs = longestPauseMs;
    }

    /**
     * Notes a refused start.
     *
     * @param kind the kind of host
     * @param nowMs monotonic time, in milliseconds
     */
    public synchronized void onRefused(HostOffer.Kind kind, long nowMs) {
        Pause last = pauses.get(kind);
        long lengthMs = last == null ? firstPauseMs : Math.min(longestPauseMs, 2 * last.lengthMs());
        pauses.put(kind, new Pause(lengthMs, nowMs + lengthMs));
    }

    /**
     * Notes a start.
     *
     * @param kind the kind of host
     */
    public synchronized void onStarted(HostOffer.Kind kind) {
        pauses.remove(kind);
    }

    /**
     * Tells whether a kind may be asked for.
     *
     * @param kind the kind of host
     * @param nowMs monotonic time, in milliseconds
     * @return false during a pause
     */
    public synchronized boolean mayAsk(HostOffer.Kind kind, long nowMs) {
        Pause pause = pauses.get(kind);
        return pause == null || nowMs >= pause.untilMs();
    }

    /** Holds the pause of one kind. Immutable. */
    private record Pause(long lengthMs, long untilMs) {}
}
