package org.cardamomthread.experiments.membership;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.node.DefaultNodeDirectory;
import org.cardamomthread.membership.node.NodeAddresses;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeDirectorySettings;
import org.cardamomthread.membership.node.NodeEntry;
import org.cardamomthread.membership.node.NodeState;

/**
 * Measures the gossip of node directories in one process and virtual time.
 *
 * <p>For each size it prints the payload bytes and messages sent per node and second, the CPU time
 * per node and second, the heap per entry, the virtual time until all nodes know a revision, and
 * the share of live nodes that are considered dead. Single-threaded.
 */
public final class GossipExperiment {

    private static final long STEP_MS = 100;
    private static final long WARM_UP_MS = 40_000;
    private static final long MEASURE_MS = 20_000;
    private static final long MAX_PROPAGATION_MS = 60_000;
    private static final double MS_PER_SECOND = 1_000;
    private static final double NS_PER_MS = 1_000_000;

    private record Size(int nodes, int dataCentres) {}

    private static final List<Size> SIZES =
            List.of(new Size(7, 4), new Size(40, 4), new Size(200, 8), new Size(1_300, 21));

    private final ManualTimeSource time = new ManualTimeSource();
    private final Map<NodeId, NodeDirectory> directories = new HashMap<>();
    private List<InTransitMessage> inTransit = new ArrayList<>();
    private long sentBytes;
    private long sentMessages;

    private record InTransitMessage(NodeId from, OutgoingMessage outgoing) {}

    private GossipExperiment(Size size, long seed) {
        Random random = new Random(seed);
        List<NodeEntry> seeds = new ArrayList<>();
        for (int i = 0; i < size.dataCentres(); i++) {
            seeds.add(entry(i, size, 0));
        }
        for (int i = 0; i < size.nodes(); i++) {
            NodeEntry self = entry(i, size, 1_733_299_200_000L + i);
            directories.put(
                    self.id(),
                    new DefaultNodeDirectory(
                            self,
                            seeds,
                            NodeDirectorySettings.defaults(),
                            time,
                            new Random(random.nextLong())));
        }
    }

    /**
     * Runs the measurement.
     *
     * @param arguments the random seed; 1 if absent
     */
    public static void main(String[] arguments) {
        long seed = arguments.length > 0 ? Long.parseLong(arguments[0]) : 1;
        System.out.printf("gossip, seed %d, %s%n", seed, NodeDirectorySettings.defaults());
        System.out.println(
                "nodes dataCentres bytes/s messages/s cpu-ms/s heap-bytes/entry"
                        + " revision-known-ms wrongly-dead-share");
        for (Size size : SIZES) {
            long heapBefore = usedHeapBytes();
            GossipExperiment experiment = new GossipExperiment(size, seed);
            System.out.println(experiment.measure(size, heapBefore));
        }
    }

    private String measure(Size size, long heapBefore) {
        run(WARM_UP_MS);
        sentBytes = 0;
        sentMessages = 0;
        long cpuBeforeNs = cpuNs();
        double falseDeadShare = run(MEASURE_MS);
        double cpuMs = (cpuNs() - cpuBeforeNs) / NS_PER_MS;
        double nodeSeconds = size.nodes() * MEASURE_MS / MS_PER_SECOND;
        inTransit = new ArrayList<>();
        long entries = (long) size.nodes() * (size.nodes() - 1);
        long heapBytes = Math.max(0, usedHeapBytes() - heapBefore) / entries;
        return String.format(
                Locale.ROOT,
                "%d %d %.0f %.1f %.3f %d %d %.6f",
                size.nodes(),
                size.dataCentres(),
                sentBytes / nodeSeconds,
                sentMessages / nodeSeconds,
                cpuMs / nodeSeconds,
                heapBytes,
                propagationMs(),
                falseDeadShare);
    }

    private long propagationMs() {
        directories.values().iterator().next().setActiveRevision(1);
        long startMs = time.monotonicMs();
        while (time.monotonicMs() - startMs < MAX_PROPAGATION_MS) {
            run(STEP_MS);
            boolean isKnownByAll =
                    directories.values().stream().allMatch(node -> node.highestRevision() == 1);
            if (isKnownByAll) {
                return time.monotonicMs() - startMs;
            }
        }
        return -1;
    }

    /**
     * Advances the virtual time and returns the share of live nodes then considered dead, or 0 for
     * a single step.
     */
    private double run(long durationMs) {
        for (long ms = 0; ms < durationMs; ms += STEP_MS) {
            time.advanceMs(STEP_MS);
            List<InTransitMessage> arriving = inTransit;
            inTransit = new ArrayList<>();
            for (InTransitMessage message : arriving) {
                NodeId to = message.outgoing().to();
                send(to, directories.get(to).receive(message.from(), message.outgoing().message()));
            }
            directories.forEach((id, directory) -> send(id, directory.tick()));
        }
        return durationMs == STEP_MS ? 0 : falseDeadShare();
    }

    private double falseDeadShare() {
        long dead = 0;
        long seen = 0;
        for (NodeDirectory directory : directories.values()) {
            for (var view : directory.otherNodes()) {
                seen++;
                dead += view.state() == NodeState.DEAD ? 1 : 0;
            }
        }
        return seen == 0 ? 0 : (double) dead / seen;
    }

    private void send(NodeId from, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            sentMessages++;
            sentBytes += message.message().getSerializedSize();
            inTransit.add(new InTransitMessage(from, message));
        }
    }

    private static NodeEntry entry(int index, Size size, long incarnation) {
        return new NodeEntry(
                new NodeId("node-" + index),
                incarnation,
                0,
                new DataCentreId("data-centre-" + index % size.dataCentres()),
                new NodeAddresses(
                        "10.0.0.1:8080", "10.0.0.1:8081", "10.0.0.1:8082", "10.0.0.1:8083"),
                false,
                Optional.empty(),
                false);
    }

    private static long cpuNs() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private static long usedHeapBytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
