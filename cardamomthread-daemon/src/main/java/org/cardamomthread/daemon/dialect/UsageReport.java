package org.cardamomthread.daemon.dialect;

import java.util.Map;

/**
 * Holds the number of requests that started to run in one accounting window. Immutable.
 *
 * @param window the number of the window, counted from 1970
 * @param counts the number of requests by client account
 */
public record UsageReport(long window, Map<String, Long> counts) {

    /** Creates a report with a copy of the counts. */
    public UsageReport {
        counts = Map.copyOf(counts);
    }
}
