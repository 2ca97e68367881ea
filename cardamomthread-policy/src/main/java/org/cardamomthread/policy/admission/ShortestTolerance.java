package org.cardamomthread.policy.admission;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.ClientAccountId;

/**
 * Tracks the shortest time for which the recent requests of each client account may wait.
 *
 * <p>The requests of an account wait in order of arrival. If each of them were admitted up to its
 * own limit, the wait would settle at the longest limit, and the requests with shorter ones would
 * all be refused.
 *
 * <p>Invariant: a time is remembered for at most {@value #MAX_AGE_MS} ms. Not thread-safe.
 */
final class ShortestTolerance {

    private static final long PERIOD_MS = 5_000;
    private static final long MAX_AGE_MS = 2 * PERIOD_MS;

    private Map<ClientAccountId, Long> current = new HashMap<>();
    private Map<ClientAccountId, Long> previous = new HashMap<>();
    private long periodStartMs;

    /** Records how long a request may wait, and returns the shortest recent time, in ms. */
    long record(ClientAccountId account, long toleranceMs, long nowMs) {
        if (nowMs - periodStartMs >= PERIOD_MS) {
            boolean isAdjacent = nowMs - periodStartMs < MAX_AGE_MS;
            previous = isAdjacent ? current : new HashMap<>();
            current = new HashMap<>();
            periodStartMs = nowMs;
        }
        long shortestMs = current.merge(account, toleranceMs, Math::min);
        return Math.min(shortestMs, previous.getOrDefault(account, shortestMs));
    }
}
