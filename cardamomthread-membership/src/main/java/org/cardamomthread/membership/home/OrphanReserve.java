package org.cardamomthread.membership.home;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.NodeId;

/**
 * Reserves room for requests in flight whose gateway no longer reports: it died, was cut off, or
 * got its credits from an earlier home.
 *
 * <p>The endpoint's own report bounds them once it was made after the last of them could reach the
 * endpoint: they are at most what it holds, less the requests that reporting gateways had in flight
 * throughout. Whatever the reports say, they end when the longest request must have ended.
 *
 * <p>Invariant: the count is at least the number of such requests at the endpoint. Not safe for use
 * by several threads; the ledger guards it.
 */
final class OrphanReserve {

    private static final long OBSERVATION_TIMEOUT_MS = 5_000;

    private final HomeSettings settings;
    private int count;
    private long usableReportsFromMs;
    private long endMs;
    private Observation observation;

    private static final class Observation {
        private final long receivedMs;
        private final int inFlight;
        private final Map<NodeId, Long> startedBefore = new HashMap<>();
        private int confirmed;

        private Observation(long receivedMs, int inFlight) {
            this.receivedMs = receivedMs;
            this.inFlight = inFlight;
        }
    }

    OrphanReserve(HomeSettings settings) {
        this.settings = settings;
    }

    int count(long nowMs) {
        if (nowMs >= endMs) {
            count = 0;
        }
        return count;
    }

    /** Adds requests of which nothing more is started from now on. */
    void add(int requests, long nowMs) {
        if (requests == 0) {
            return;
        }
        count = count(nowMs) + requests;
        usableReportsFromMs = nowMs + settings.settleMs();
        endMs = nowMs + settings.maxRequestMs();
        observation = null;
    }

    /** Takes a report of the endpoint that was made no earlier than stated. */
    void report(int inFlight, long madeMs, long receivedMs, Map<NodeId, GatewayAccount> gateways) {
        if (count == 0 || madeMs < usableReportsFromMs) {
            return;
        }
        count = Math.min(count, inFlight);
        boolean observing =
                observation != null && receivedMs - observation.receivedMs < OBSERVATION_TIMEOUT_MS;
        if (observing) {
            return;
        }
        observation = new Observation(receivedMs, inFlight);
        for (Map.Entry<NodeId, GatewayAccount> gateway : gateways.entrySet()) {
            long startedBefore = gateway.getValue().startedBy(madeMs - settings.settleMs());
            observation.startedBefore.put(gateway.getKey(), startedBefore);
        }
    }

    /**
     * Takes a gateway's demand.
     *
     * @param sentAfterMs a time after which the demand was certainly sent
     */
    void demand(NodeId gateway, long finished, long sentAfterMs) {
        if (observation == null || sentAfterMs < observation.receivedMs + settings.settleMs()) {
            return;
        }
        Long startedBefore = observation.startedBefore.remove(gateway);
        if (startedBefore == null) {
            return;
        }
        observation.confirmed += (int) Math.max(0, startedBefore - finished);
        count = Math.min(count, Math.max(0, observation.inFlight - observation.confirmed));
        if (observation.startedBefore.isEmpty()) {
            observation = null;
        }
    }

    /** Stops counting on a gateway whose counters begin anew. */
    void forget(NodeId gateway) {
        if (observation != null) {
            observation.startedBefore.remove(gateway);
        }
    }
}
