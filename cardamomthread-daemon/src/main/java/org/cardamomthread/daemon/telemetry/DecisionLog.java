package org.cardamomthread.daemon.telemetry;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes a line for each decision, within a budget of lines a second for each kind of event.
 *
 * <p>A line that follows left out ones bears their number in {@code omitted}. Safe for use by
 * several threads; never blocks, since the log's appender drops what it cannot queue.
 */
public final class DecisionLog {

    /** Lines a second of one kind of event; twice what a small gateway needs at usual load. */
    static final int LINES_PER_S = 40;

    private static final long BUDGET_WINDOW_MS = 1_000;
    private static final Logger LOGGER = LoggerFactory.getLogger("decisions");

    private final TimeSource timeSource;
    private final Map<String, Budget> budgets = new HashMap<>();

    /** Counts the lines of one kind of event. */
    private static final class Budget {
        private long windowStartMs;
        private int written;
        private long omitted;
    }

    /**
     * Creates a log.
     *
     * @param timeSource the clock
     */
    public DecisionLog(TimeSource timeSource) {
        this.timeSource = timeSource;
    }

    /**
     * Writes a line, if the budget allows it.
     *
     * @param event the kind of event, of a fixed set
     * @param keysAndValues names and values in turn
     */
    public void write(String event, Object... keysAndValues) {
        long omitted = takeLine(event);
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

    /** Returns the lines left out since the last one, or -1 if this one is left out too. */
    private synchronized long takeLine(String event) {
        Budget budget = budgets.computeIfAbsent(event, name -> new Budget());
        long nowMs = timeSource.monotonicMs();
        if (nowMs - budget.windowStartMs >= BUDGET_WINDOW_MS) {
            budget.windowStartMs = nowMs;
            budget.written = 0;
        }
        if (budget.written >= LINES_PER_S) {
            budget.omitted++;
            return -1;
        }
        budget.written++;
        long omitted = budget.omitted;
        budget.omitted = 0;
        return omitted;
    }
}
