package org.cardamomthread.experiments.membership;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointKind;
import org.cardamomthread.membership.endpoint.EndpointLoad;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.endpoint.PriceClass;
import org.cardamomthread.membership.gateway.CreditPoolSettings;
import org.cardamomthread.membership.gateway.DefaultCreditPool;
import org.cardamomthread.membership.home.DefaultEndpointHome;
import org.cardamomthread.membership.home.EndpointHome;
import org.cardamomthread.membership.home.HomeAssignment;
import org.cardamomthread.membership.home.HomeSettings;
import org.cardamomthread.membership.node.DefaultNodeDirectory;
import org.cardamomthread.membership.node.NodeAddresses;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeDirectorySettings;
import org.cardamomthread.membership.node.NodeEntry;

/**
 * Measures the traffic of credit demands and grants as a function of the endpoints per home, in one
 * process and virtual time. Each node is both a gateway and a home. Gossip is not counted. As each
 * gateway uses all homes, each node sends as much as it receives. Single-threaded.
 */
public final class CreditTrafficExperiment {

    private static final int NODES = 16;
    private static final List<Integer> ENDPOINTS_PER_HOME = List.of(1, 3, 9, 27);
    private static final long STEP_MS = 50;
    private static final long ANNOUNCEMENT_INTERVAL_MS = 500;
    private static final long WARM_UP_MS = 20_000;
    private static final long MEASURE_MS = 20_000;
    private static final double MS_PER_SECOND = 1_000;
    private static final double NS_PER_MS = 1_000_000;
    private static final DataCentreId DATA_CENTRE = new DataCentreId("perth-a");

    private record Node(NodeDirectory directory, EndpointHome home, DefaultCreditPool pool) {}

    private final ManualTimeSource time = new ManualTimeSource();
    private final Map<NodeId, Node> nodes = new HashMap<>();
    private final int endpoints;
    private long sequence;
    private long bytes;
    private long messages;

    private CreditTrafficExperiment(int endpointsPerHome, long demandIntervalMs) {
        this.endpoints = endpointsPerHome * NODES;
        List<NodeEntry> seeds = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            seeds.add(
                    new NodeEntry(
                            new NodeId("node-" + i),
                            1,
                            0,
                            DATA_CENTRE,
                            new NodeAddresses("", "", "", ""),
                            false,
                            Optional.empty(),
                            false));
        }
        seeds.forEach(self -> start(self, seeds, demandIntervalMs));
    }

    private void start(NodeEntry self, List<NodeEntry> seeds, long demandIntervalMs) {
        NodeDirectory directory =
                new DefaultNodeDirectory(
                        self, seeds, NodeDirectorySettings.defaults(), time, new Random(1));
        EndpointHome home =
                new DefaultEndpointHome(
                        self,
                        new HomeAssignment(directory),
                        HomeSettings.defaults(),
                        status -> Integer.MAX_VALUE,
                        announcement -> {},
                        time);
        CreditPoolSettings settings =
                new CreditPoolSettings(
                        demandIntervalMs, STEP_MS, NODES, 0, HomeSettings.defaults().leaseMs());
        nodes.put(
                self.id(),
                new Node(directory, home, new DefaultCreditPool(directory, settings, time)));
    }

    /**
     * Runs the measurement.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        System.out.println(
                "demand-interval-ms homes endpoints/home bytes-sent/s messages/s cpu-ms/s");
        for (long intervalMs : List.of(500L, 1_000L)) {
            for (int perHome : ENDPOINTS_PER_HOME) {
                System.out.println(
                        new CreditTrafficExperiment(perHome, intervalMs)
                                .measure(perHome, intervalMs));
            }
        }
    }

    private String measure(int perHome, long intervalMs) {
        run(WARM_UP_MS);
        bytes = 0;
        messages = 0;
        long cpuBeforeNs = cpuNs();
        run(MEASURE_MS);
        double cpuMs = (cpuNs() - cpuBeforeNs) / NS_PER_MS;
        double nodeSeconds = NODES * MEASURE_MS / MS_PER_SECOND;
        return String.format(
                Locale.ROOT,
                "%d %d %d %.0f %.1f %.3f",
                intervalMs,
                NODES,
                perHome,
                bytes / nodeSeconds,
                messages / nodeSeconds,
                cpuMs / nodeSeconds);
    }

    private void run(long durationMs) {
        for (long ms = 0; ms < durationMs; ms += STEP_MS) {
            time.advanceMs(STEP_MS);
            if (time.monotonicMs() % ANNOUNCEMENT_INTERVAL_MS == 0) {
                announceAll();
            }
            nodes.forEach((id, node) -> deliver(id, node.directory().tick()));
            nodes.forEach((id, node) -> deliver(id, node.home().tick()));
            nodes.forEach((id, node) -> deliver(id, node.pool().tick()));
        }
    }

    private void deliver(NodeId from, List<OutgoingMessage> outgoing) {
        for (OutgoingMessage message : outgoing) {
            Node to = nodes.get(message.to());
            if (NodeDirectory.handles(message.message())) {
                deliver(message.to(), to.directory().receive(from, message.message()));
                continue;
            }
            if (!message.to().equals(from) && !message.message().hasAnnouncement()) {
                bytes += message.message().getSerializedSize();
                messages++;
            }
            if (EndpointHome.handles(message.message())) {
                deliver(message.to(), to.home().receive(from, message.message()));
            } else {
                to.pool().receive(from, message.message());
            }
        }
    }

    private void announceAll() {
        sequence++;
        NodeId receiver = new NodeId("node-0");
        for (int i = 0; i < endpoints; i++) {
            EndpointAnnouncement announcement =
                    new EndpointAnnouncement(
                            new EndpointId("runner-" + i),
                            1,
                            sequence,
                            DATA_CENTRE,
                            new EndpointDescription(
                                    "10.0.0.1:9101",
                                    EndpointKind.MODEL,
                                    new EndpointClassId("gpu-small"),
                                    PriceClass.RECLAIMABLE,
                                    List.of(),
                                    Set.of(),
                                    EndpointState.READY),
                            new EndpointLoad(
                                    1_733_299_200_000L + time.monotonicMs(),
                                    5,
                                    1,
                                    64,
                                    0.4,
                                    4_000,
                                    60),
                            List.of());
            deliver(receiver, nodes.get(receiver).home().receiveAnnouncement(announcement));
        }
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }
}
