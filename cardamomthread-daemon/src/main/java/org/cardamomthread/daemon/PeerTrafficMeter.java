package org.cardamomthread.daemon;

import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.telemetry.NodeMetrics;
import org.cardamomthread.transport.TransportListener;

/** Counts the bytes exchanged with other nodes as metrics. Thread-safe. */
final class PeerTrafficMeter implements TransportListener {

    private final NodeMetrics metrics;

    PeerTrafficMeter(NodeMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public void frameSent(NodeId peer, int bytes) {
        metrics.countPeerBytes("out", bytes);
    }

    @Override
    public void frameReceived(NodeId peer, int bytes) {
        metrics.countPeerBytes("in", bytes);
    }
}
