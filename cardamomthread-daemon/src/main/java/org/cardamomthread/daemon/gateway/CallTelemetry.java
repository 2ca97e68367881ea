package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;

/**
 * Groups the telemetry components that every call reports to. Immutable and thread-safe.
 *
 * @param metrics the node's metrics
 * @param tracing the node's traces
 * @param timeSource the node's clock
 * @param placementHistory records why each request was sent to its endpoint
 */
public record CallTelemetry(
        NodeMetrics metrics,
        NodeTracing tracing,
        TimeSource timeSource,
        PlacementHistory placementHistory) {}
