package org.cardamomthread.daemon.dialect;

import java.util.Map;

/**
 * Holds the requests that began to run in one accounting window. Immutable.
 *
 * @param window the window's number since 1970
 * @param counts requests by the name of the client account
 */
public record UsageReport(long window, Map<String, Long> counts) {

    /** Copies the counts. */
    public UsageReport {
        counts = Map.copyOf(counts);
    }
}
