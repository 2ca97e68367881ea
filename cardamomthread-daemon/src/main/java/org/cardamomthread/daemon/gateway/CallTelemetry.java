package org.cardamomthread.daemon.gateway;

import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.daemon.telemetry.NodeTracing;

/**
 * Groups what each call reports to. Immutable and safe for use by several threads.
 *
 * @param metrics the node's metrics
 * @param tracing the node's traces
 * @param timeSource the node's clock
 * @param choices remembers why requests went where they went
 */
public record CallTelemetry(
        NodeMetrics metrics, NodeTracing tracing, TimeSource timeSource, ChoiceLog choices) {}
