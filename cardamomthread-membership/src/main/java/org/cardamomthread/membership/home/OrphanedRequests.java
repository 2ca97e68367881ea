package org.cardamomthread.membership.home;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.core.id.NodeId;

/**
 * Counts orphaned requests: requests in flight whose gateway does not report them to this home,
 * because it died, was partitioned or received its credits from a previous home.
 *
 * <p>A report of the endpoint limits the count if it was made after the last orphaned request could
 * reach the endpoint. The limit is the number of requests in flight in that report, less those that
 * reporting gateways had in flight throughout. The count drops to zero once the longest permitted
 * request must have ended.
 *
 * <p>Invariant: the count is at least the number of orphaned requests at the endpoint. Not
 * thread-safe; the owning home synchronizes access.
 */
final class OrphanedRequests {

    /**
     * The time after which the next report replaces the observed one, because a gateway may have
     * stopped sending demands.
     */
    private static final long OBSERVATION_TIMEOUT_MS = 5_000;

    private final HomeSettings settings;
    private int count;
    private long earliestUsableReportMs;
    private long expiryMs;
    private Observation observation;

    /** A report of the endpoint that is compared with the subsequent demands of all gateways. */
    private static final class Observation {
        private final long receivedMs;
        private final int inFlight;

        /** The requests that each gateway had started before the report, until its next demand. */
        private final Map<NodeId, Long> startedByGateway = new HashMap<>();

        /** The requests of reporting gateways that were in flight throughout. */
        private int accountedFor;

        private Observation(long receivedMs, int inFlight) {
            this.receivedMs = receivedMs;
            this.inFlight = inFlight;
        }
    }

    OrphanedRequests(HomeSettings settings) {
        this.settings = settings;
    }

    int count(long nowMs) {
        if (nowMs >= expiryMs) {
            count = 0;
        }
        return count;
    }

    /** Adds requests that were started before now. No more may be started under the same grants. */
    void add(int requests, long nowMs) {
        if (requests == 0) {
            return;
        }
        count = count(nowMs) + requests;
        earliestUsableReportMs = nowMs + settings.maxCountSkewMs();
        expiryMs = nowMs + settings.maxRequestDurationMs();
        observation = null;
    }

    /**
     * Processes the in-flight count that the endpoint reported.
     *
     * @param madeMs the earliest time at which the report may have been made, on the home's clock
     */
    void onEndpointReport(
            int inFlight, long madeMs, long receivedMs, Map<NodeId, GatewayAccount> gateways) {
        if (count == 0 || madeMs < earliestUsableReportMs) {
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
            long startedBefore =
                    gateway.getValue().startedCountAt(madeMs - settings.maxCountSkewMs());
            observation.startedByGateway.put(gateway.getKey(), startedBefore);
        }
    }

    /**
     * Processes the counts in a gateway's demand.
     *
     * @param earliestSendMs the earliest time at which the demand may have been sent
     */
    void onGatewayDemand(NodeId gateway, long finished, long earliestSendMs) {
        if (observation == null
                || earliestSendMs < observation.receivedMs + settings.maxCountSkewMs()) {
            return;
        }
        Long startedBefore = observation.startedByGateway.remove(gateway);
        if (startedBefore == null) {
            return;
        }
        observation.accountedFor += (int) Math.max(0, startedBefore - finished);
        count = Math.min(count, Math.max(0, observation.inFlight - observation.accountedFor));
        if (observation.startedByGateway.isEmpty()) {
            observation = null;
        }
    }

    /** Ignores a gateway in the current comparison because its counters restart. */
    void removeGateway(NodeId gateway) {
        if (observation != null) {
            observation.startedByGateway.remove(gateway);
        }
    }
}
