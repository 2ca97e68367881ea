package org.cardamomthread.daemon.telemetry;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs decisions, with a rate limit for each kind of event.
 *
 * <p>The first line after omitted ones has their number in {@code omitted}. Thread-safe; never
 * blocks, since the log appender drops events that it cannot queue.
 */
public final class DecisionLog {

    /** Maximum lines per second of one kind of event: twice the usual load of a small gateway. */
    static final int MAX_LINES_PER_S = 40;

    private static final long WINDOW_MS = 1_000;
    private static final Logger LOGGER = LoggerFactory.getLogger("decisions");

    private final TimeSource timeSource;
    private final Map<String, EventBudget> budgets = new HashMap<>();

    /** Counts the lines of one kind of event in the current window. */
    private static final class EventBudget {
        private long windowStartMs;
        private int logged;
        private long omitted;
    }

    /**
     * Creates a log.
     *
     * @param timeSource the clock that measures the rate limit's window
     */
    public DecisionLog(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Logs an event unless its rate limit is exceeded.
     *
     * @param event the kind of event, from a fixed set
     * @param keysAndValues alternating names and values of the line's fields
     */
    public void log(String event, Object... keysAndValues) {
        long omitted = reserveLine(event);
        if (omitted < 0) {
            return;
        }
        LoggingEventBuilder line = LOGGER.atInfo().addKeyValue("event", event);
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            line = line.addKeyValue((String) keysAndValues[i], keysAndValues[i + 1]);
        }
        if (omitted > 0) {
            line = line.addKeyValue("omitted", omitted);
        }
        line.log(event);
    }

    /**
     * Returns the number of lines omitted since the last one, or -1 if this one is to be omitted.
     */
    private synchronized long reserveLine(String event) {
        EventBudget budget = budgets.computeIfAbsent(event, name -> new EventBudget());
        long nowMs = timeSource.monotonicMs();
        if (nowMs - budget.windowStartMs >= WINDOW_MS) {
            budget.windowStartMs = nowMs;
            budget.logged = 0;
        }
        if (budget.logged >= MAX_LINES_PER_S) {
            budget.omitted++;
            return -1;
        }
        budget.logged++;
        long omitted = budget.omitted;
        budget.omitted = 0;
        return omitted;
    }
}
