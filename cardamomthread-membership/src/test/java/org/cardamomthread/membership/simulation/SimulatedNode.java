package org.cardamomthread.membership.simulation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.membership.gateway.CreditPoolSettings;
import org.cardamomthread.membership.gateway.DefaultCreditPool;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.home.DefaultEndpointHome;
import org.cardamomthread.membership.home.EndpointHome;
import org.cardamomthread.membership.home.HomeAssignment;
import org.cardamomthread.membership.home.HomeSettings;
import org.cardamomthread.membership.node.DefaultNodeDirectory;
import org.cardamomthread.membership.node.NodeAddresses;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeDirectorySettings;
import org.cardamomthread.membership.node.NodeEntry;

/** Runs the node directory, endpoint home and credit pool of one simulated node. */
public final class SimulatedNode {

    static final NodeAddresses ADDRESSES = new NodeAddresses("", "", "", "");

    private final NodeId id;
    private final NodeDirectory directory;
    private final EndpointHome home;
    private final CreditPool pool;
    private long frozenUntilMs;
    private int startCount;

    SimulatedNode(
            NodeEntry seedEntry,
            long incarnation,
            Collection<NodeEntry> seeds,
            HomeSettings settings,
            TimeSource time,
            long randomSeed) {
        id = seedEntry.id();
        NodeEntry self =
                new NodeEntry(
                        id,
                        incarnation,
                        0,
                        seedEntry.dataCentre(),
                        ADDRESSES,
                        false,
                        Optional.empty(),
                        false);
        directory =
                new DefaultNodeDirectory(
                        self,
                        seeds,
                        NodeDirectorySettings.defaults(),
                        time,
                        new Random(randomSeed));
        home =
                new DefaultEndpointHome(
                        self,
                        new HomeAssignment(directory),
                        settings,
                        status ->
                                directory.isDrained(status.announcement().dataCentre())
                                        ? 0
                                        : Integer.MAX_VALUE,
                        announcement -> {},
                        time);
        pool = new DefaultCreditPool(directory, CreditPoolSettings.defaults(), time);
    }

    List<OutgoingMessage> tick() {
        List<OutgoingMessage> out = new ArrayList<>(directory.tick());
        out.addAll(home.tick());
        out.addAll(pool.tick());
        return out;
    }

    List<OutgoingMessage> receive(NodeId from, PeerMessage message) {
        if (NodeDirectory.handles(message)) {
            return directory.receive(from, message);
        }
        if (EndpointHome.handles(message)) {
            return home.receive(from, message);
        }
        pool.receive(from, message);
        return List.of();
    }

    static NodeEntry seed(String id, String dataCentre) {
        return NodeEntry.seed(new NodeId(id), new DataCentreId(dataCentre), ADDRESSES);
    }

    public NodeId id() {
        return id;
    }

    public NodeDirectory directory() {
        return directory;
    }

    EndpointHome home() {
        return home;
    }

    CreditPool pool() {
        return pool;
    }

    long frozenUntilMs() {
        return frozenUntilMs;
    }

    void freezeUntil(long untilMs) {
        frozenUntilMs = untilMs;
    }

    void incrementStartCount() {
        startCount++;
    }

    int startCount() {
        return startCount;
    }
}
