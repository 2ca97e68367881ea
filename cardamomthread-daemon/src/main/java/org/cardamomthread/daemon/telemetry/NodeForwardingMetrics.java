package org.cardamomthread.daemon.telemetry;

import org.cardamomthread.core.id.ServiceId;

/** Counts forwarded requests in the node's metrics. Thread-safe. */
public final class NodeForwardingMetrics implements ForwardingMetrics {

    private final NodeMetrics metrics;

    /**
     * Creates the adapter.
     *
     * @param metrics the metrics in which requests are counted
     */
    public NodeForwardingMetrics(NodeMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void beginRequest(ServiceId service) {
        metrics.beginRequest(service);
    }

    @Override
    public void endRequest(ServiceId service, String outcome, long elapsedMs) {
        metrics.endRequest(service, outcome, elapsedMs);
    }

    @Override
    public void countAttempt(ServiceId service, String result) {
        metrics.countAttempt(service, result);
    }

    @Override
    public void countEndpointStatement(ServiceId service, String statement) {
        metrics.countEndpointStatement(service, statement);
    }

    @Override
    public void countSend(ServiceId service, boolean isLocal) {
        metrics.countSend(service, isLocal);
    }

    @Override
    public void countRefusal(String reason) {
        metrics.countRefusal(reason);
    }

    @Override
    public void setWaiting(ServiceId service, int count) {
        metrics.setWaiting(service, count);
    }

    @Override
    public void recordWait(ServiceId service, long waitedMs) {
        metrics.recordWait(service, waitedMs);
    }
}
