package org.cardamomthread.daemon.forwarding;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cardamomthread.configuration.traffic.generated.UsageWindow;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.time.TimeSource;

/**
 * Counts the requests that started to run, by accounting window and client account. Not
 * thread-safe.
 */
final class UsageCounter {

    /** Number of past windows included in every report, so that a new leader receives them too. */
    private static final int REPORTED_PAST_WINDOWS = 5;

    private final TimeSource timeSource;
    private final long windowMs;
    private final TreeMap<Long, Map<String, Long>> windows = new TreeMap<>();

    UsageCounter(TimeSource timeSource, long windowS) {
        this.timeSource = timeSource;
        this.windowMs = Duration.ofSeconds(windowS).toMillis();
    }

    /** Counts a request whose response has just started, in the current window. */
    void count(ClientAccountId account) {
        long window = timeSource.millis() / windowMs;
        windows.computeIfAbsent(window, number -> new TreeMap<>())
                .merge(account.value(), 1L, Long::sum);
    }

    /**
     * Returns the counts of the current and the most recent past windows, and discards older ones.
     */
    List<UsageWindow> snapshot() {
        long oldest = timeSource.millis() / windowMs - REPORTED_PAST_WINDOWS;
        windows.headMap(oldest).clear();
        List<UsageWindow> messages = new ArrayList<>();
        windows.forEach(
                (window, counts) ->
                        messages.add(
                                UsageWindow.newBuilder()
                                        .setWindow(window)
                                        .putAllCounts(counts)
                                        .build()));
        return messages;
    }
}
