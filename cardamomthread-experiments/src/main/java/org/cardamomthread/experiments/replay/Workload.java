package org.cardamomthread.experiments.replay;

import java.util.List;

/**
 * Holds the calls of a workload and the fleet that serves them. Immutable.
 *
 * @param name name for reports
 * @param calls calls in the order of arrival
 * @param fleet endpoints at the start
 * @param durationMs time of the last arrival, in milliseconds
 * @param clientDelayMs network delay there and back, in milliseconds
 */
record Workload(
        String name,
        List<Call> calls,
        List<EndpointSpec> fleet,
        long durationMs,
        double clientDelayMs) {}
