package org.cardamomthread.daemon.view;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.traffic.generated.ReplaceDocument;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.FakeReplicationGroup;
import org.cardamomthread.daemon.testing.TestEndpoints;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.testing.VirtualExecutor;
import org.cardamomthread.transport.PeerTransport;

/**
 * Gateways that poll the view from a control node over simulated links, in virtual time. Not
 * thread-safe.
 */
final class SimulatedViewFleet implements AutoCloseable {

    static final EndpointId LEAVING_ENDPOINT = new EndpointId("leaving");
    static final long VIEW_LEASE_MS = 2_500;

    private static final long LEAVING_START_MS = 1;
    private static final int POLL_PHASES_MS = 250;
    private static final int ACCOUNTS = 50;

    /** Time after which the other control nodes apply what the first one has committed. */
    private static final long FOLLOWER_LAG_MS = 50;

    private final ManualTimeSource time = new ManualTimeSource();
    private final VirtualExecutor executor = new VirtualExecutor(time);
    private final SimulatedNetwork network = new SimulatedNetwork(executor);
    private final ControlThread controlThread = new ControlThread("view-simulation");
    private final Map<NodeId, Control> controls = new LinkedHashMap<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final Random random = new Random(1);
    private final RandomGenerator sources;
    private long logIndex;

    /** The parts of a control node that gateways ask for the view. */
    private record Control(
            TrafficReplica replica, FakeReplicationGroup group, EndpointRegistry registry) {}

    /** A gateway and what it has learnt. */
    static final class Gateway {
        private final ViewLease lease;
        private final List<Long> documentVersions = new ArrayList<>();
        private long leaveMs = Long.MAX_VALUE;
        private GatewayView view = GatewayView.EMPTY;

        Gateway(ViewLease lease) {
            this.lease = lease;
        }

        boolean isLeaseHeld() {
            return lease.isHeld();
        }

        /** Returns the versions of the documents by which it served, in order. */
        List<Long> documentVersions() {
            return documentVersions;
        }

        /** Returns when it learnt that the endpoint leaves, in milliseconds. */
        long leaveMs() {
            return leaveMs;
        }

        GatewayView view() {
            return view;
        }
    }

    /** Creates a fleet of which each gateway fetches documents from a control node drawn. */
    SimulatedViewFleet(RandomGenerator sources) {
        this.sources = sources;
    }

    /** Adds a control node with outgoing links of a rate in Mbit/s. */
    void addControlNode(NodeId node, double megabitsPerS) {
        EndpointRegistry registry = new EndpointRegistry(time);
        FakeReplicationGroup group = new FakeReplicationGroup();
        TrafficReplica replica = new TrafficReplica();
        DecisionLog log = new DecisionLog(time);
        CompressedDocuments documents = new CompressedDocuments(replica);
        DocumentServer documentServer = new DocumentServer(documents, Runnable::run, time);
        ViewServer server =
                new ViewServer(
                        replica,
                        () -> Optional.of(group),
                        registry,
                        new GatewayReports(time, VIEW_LEASE_MS + 1_000),
                        new LeavingEndpointReports(registry, log),
                        new QuarantineServer(
                                registry, () -> OptionalLong.of(2), controlThread, time, log),
                        () -> List.copyOf(controls.keySet()),
                        controlThread,
                        time,
                        node.value());
        PeerTransport transport = network.addNode(node, megabitsPerS);
        transport.register(
                ViewServer.TOPIC,
                (from, payload) -> {
                    byte[] response = server.handle(from, payload).toCompletableFuture().join();
                    return CompletableFuture.completedFuture(response);
                });
        transport.register(DocumentServer.TOPIC, documentServer::handle);
        executor.scheduleWithFixedDelay(
                documentServer::expire,
                DocumentServer.EXPIRY_INTERVAL_MS,
                DocumentServer.EXPIRY_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
        controls.put(node, new Control(replica, group, registry));
    }

    /** Starts gateways at random moments of one poll interval. */
    void startGateways(int count, double megabitsPerS) {
        for (int i = 0; i < count; i++) {
            NodeId id = new NodeId("gateway-" + gateways.size());
            Gateway gateway = new Gateway(new ViewLease(time, VIEW_LEASE_MS));
            ViewClient client =
                    new ViewClient(
                            network.addNode(id, megabitsPerS),
                            node -> {},
                            List.copyOf(controls.keySet()),
                            new ViewUpdater(new TestPlatformDialect(), time),
                            gateway.lease,
                            executor,
                            time,
                            sources,
                            request -> {},
                            view -> record(gateway, view));
            executor.schedule(client::start, random.nextInt(POLL_PHASES_MS), TimeUnit.MILLISECONDS);
            gateways.add(gateway);
        }
    }

    List<Gateway> gateways() {
        return gateways;
    }

    SimulatedNetwork network() {
        return network;
    }

    long nowMs() {
        return time.monotonicMs();
    }

    void run(long durationMs) {
        executor.runUntil(nowMs() + durationMs);
    }

    void replaceDocument(long version, byte[] document) {
        logIndex++;
        byte[] command =
                TrafficCommand.newBuilder()
                        .setReplaceDocument(
                                ReplaceDocument.newBuilder()
                                        .setVersion(version)
                                        .setDocument(ByteString.copyFrom(document)))
                        .build()
                        .toByteArray();
        long index = logIndex;
        long lagMs = 0;
        for (Control control : controls.values()) {
            Runnable apply = () -> control.replica().apply(index, command);
            executor.schedule(apply, lagMs, TimeUnit.MILLISECONDS);
            lagMs = FOLLOWER_LAG_MS;
        }
    }

    void addEndpoint() {
        controls.values()
                .forEach(
                        control ->
                                control.registry()
                                        .accept(
                                                TestEndpoints.createReport(
                                                        LEAVING_ENDPOINT.value(),
                                                        new ServiceId("chat"),
                                                        "10.0.0.1:80",
                                                        false)));
    }

    void drainEndpoint() {
        controls.values()
                .forEach(control -> control.registry().drain(LEAVING_ENDPOINT, LEAVING_START_MS));
    }

    /** Creates a document of routes of ordinary size, of which names and keys repeat little. */
    static byte[] createDocument(long version, int routes) {
        Random random = new Random(version);
        StringBuilder text = new StringBuilder("{\"version\":" + version + ",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"route-" + i)
                    .append("\",\"hostname\":\"customer-" + random.nextInt(400) + ".example\"")
                    .append(",\"pathPrefix\":\"/v1/team-" + random.nextInt(9_000) + "/\"")
                    .append(",\"routeType\":\"streaming\",\"resumable\":true")
                    .append(",\"timeoutMs\":" + (1_000 + random.nextInt(12_000)))
                    .append(",\"targetLatencyMs\":" + (100 + random.nextInt(2_000)))
                    .append(",\"priority\":" + random.nextInt(4) + ",\"maxAttempts\":3")
                    .append(",\"backends\":[{\"service\":\"chat-" + random.nextInt(20))
                    .append("\",\"weight\":90},{\"service\":\"chat-" + random.nextInt(20))
                    .append("\",\"weight\":10}]}");
        }
        text.append("],\"tenants\":[");
        for (int i = 0; i < ACCOUNTS; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"account-" + i + "\",\"apiKeys\":[\"")
                    .append(Long.toHexString(random.nextLong()) + "\"],\"ratePerS\":100}");
        }
        return text.append("]}").toString().getBytes(StandardCharsets.UTF_8);
    }

    private void record(Gateway gateway, GatewayView view) {
        gateway.view = view;
        long version = view.documentVersion();
        List<Long> versions = gateway.documentVersions;
        if (versions.isEmpty() || versions.get(versions.size() - 1) != version) {
            versions.add(version);
        }
        KnownEndpoint endpoint = view.endpoints().get(LEAVING_ENDPOINT);
        if (endpoint != null && endpoint.report().isDraining()) {
            gateway.leaveMs = Math.min(gateway.leaveMs, nowMs());
        }
    }

    @Override
    public void close() {
        controlThread.close();
    }
}
