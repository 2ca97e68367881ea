package org.cardamomthread.experiments.replay;

import java.util.List;

/**
 * The calls of a workload and the endpoints that serve them.
 *
 * @param name name in reports
 * @param calls calls in the order of arrival
 * @param fleet endpoints running at the start
 * @param durationMs duration of the replay, during which calls may arrive, in milliseconds
 * @param clientDelayMs network round-trip delay between client and gateway, in milliseconds
 */
record Workload(
        String name,
        List<Call> calls,
        List<EndpointSpec> fleet,
        long durationMs,
        double clientDelayMs) {}
