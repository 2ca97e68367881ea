package org.cardamomthread.daemon.testing;

import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.gateway.PromptGuard;
import org.cardamomthread.daemon.quarantine.Peer;
import org.cardamomthread.daemon.quarantine.SharedPromptGuard;
import org.cardamomthread.daemon.telemetry.DecisionLog;

/** Creates prompt guards. */
public final class PromptGuards {

    private PromptGuards() {}

    /** Creates the guard of a node without peers. */
    public static PromptGuard createWithoutPeers(ManualTimeSource timeSource) {
        NodeId node = new NodeId("node-a");
        return new SharedPromptGuard(
                new Peer(node, 1),
                List::of,
                new LossyPeerNetwork(timeSource, 1, 1, 0).createTransport(node),
                Runnable::run,
                timeSource,
                new DecisionLog(timeSource));
    }
}
