package org.cardamomthread.daemon.concurrent;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.time.TimeSource;

/**
 * Detects that an event loop did not run for a while, for example because its process was stopped,
 * so that what it reads now may have arrived long ago. Thread-safe.
 */
public final class LoopPauseDetector {

    private static final long TICK_INTERVAL_MS = 250;

    /** Above the pauses of a garbage collection or of a busy host. */
    static final long MIN_PAUSE_MS = 500;

    /** Time in which the loop reads what arrived during a pause. */
    static final long BACKLOG_MS = 1_000;

    private final TimeSource timeSource;
    private volatile long lastTickMs;
    private volatile long backlogEndMs;

    /**
     * Creates a detector, which needs regular calls of {@link #tick}.
     *
     * @param timeSource supplies monotonic time, including time for which the host was suspended
     */
    public LoopPauseDetector(TimeSource timeSource) {
        this.timeSource = timeSource;
        lastTickMs = timeSource.monotonicMs();
        backlogEndMs = lastTickMs;
    }

    /**
     * Lets an event loop call {@link #tick} from now on.
     *
     * @param loop the event loop to watch
     */
    public void start(ScheduledExecutorService loop) {
        loop.scheduleWithFixedDelay(
                this::tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Records that the event loop runs. */
    void tick() {
        long nowMs = timeSource.monotonicMs();
        if (nowMs - lastTickMs >= MIN_PAUSE_MS) {
            backlogEndMs = nowMs + BACKLOG_MS;
        }
        lastTickMs = nowMs;
    }

    /**
     * Returns whether bytes that are read now may have arrived during a pause of the loop.
     *
     * @return true during the first read after a pause and for some time after it
     */
    public boolean isReadingBacklog() {
        long nowMs = timeSource.monotonicMs();
        return nowMs - lastTickMs >= MIN_PAUSE_MS || nowMs < backlogEndMs;
    }
}
