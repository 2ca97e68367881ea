package org.cardamomthread.daemon.forwarding;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.FakeReplicationGroup;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.LeavingEndpointReports;
import org.cardamomthread.daemon.view.QuarantineServer;
import org.cardamomthread.daemon.view.TrialClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.ViewServer;
import org.cardamomthread.daemon.view.ViewUpdater;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.transport.PeerHandler;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.cardamomthread.transport.PeerUnreachableException;
import org.cardamomthread.transport.TransportStatus;

/**
 * Simulates the control nodes and gateways of a fleet, with late and lost messages between them.
 * Runs on one thread besides the control thread, for which it waits.
 */
final class SimulatedFleet implements AutoCloseable {

    private static final int CONTROL_NODES = 2;
    private static final long POLL_INTERVAL_MS = 250;
    private static final long POLL_TIMEOUT_MS = 600;
    private static final long RETRY_DELAY_MS = 50;
    private static final double LOST_SHARE = 0.03;
    private static final double LATE_SHARE = 0.05;

    private final QuarantineSimulation simulation;
    private final ControlThread controlThread = new ControlThread("quarantine-simulation");
    private final List<ControlNode> controlNodes = new ArrayList<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final DecisionLog log = new DecisionLog(new ManualTimeSource());
    private int leader;
    private long term = 1;

    SimulatedFleet(QuarantineSimulation simulation, int gatewayCount) {
        this.simulation = simulation;
        for (int i = 0; i < CONTROL_NODES; i++) {
            controlNodes.add(new ControlNode(i));
        }
        for (int i = 0; i < gatewayCount; i++) {
            gateways.add(new Gateway(i));
        }
    }

    /** Returns a gateway that has a view. */
    Gateway chooseGateway() {
        Gateway chosen;
        do {
            chosen = gateways.get(simulation.random().nextInt(gateways.size()));
        } while (!chosen.isReady);
        return chosen;
    }

    void restartGateway(int index) {
        gateways.get(index).isStopped = true;
        gateways.set(index, new Gateway(index));
    }

    void changeLeader() {
        leader = (leader + 1) % CONTROL_NODES;
        term++;
        controlNodes.get(leader).group.becomeLeader(term);
    }

    void acceptReport(EndpointReport report) {
        controlThread
                .submit(
                        () -> {
                            controlNodes.forEach(node -> node.registry.accept(report));
                            return true;
                        })
                .join();
    }

    @Override
    public void close() {
        controlThread.close();
    }

    private long messageDelayMs() {
        boolean isLate = simulation.random().nextDouble() < LATE_SHARE;
        return (isLate ? 150 : 1) + simulation.random().nextInt(20);
    }

    private boolean isMessageLost() {
        return simulation.random().nextDouble() < LOST_SHARE;
    }

    /** Delivers a request, and completes the future with the response or after the timeout. */
    private CompletableFuture<byte[]> deliver(
            PeerHandler handler, NodeId from, byte[] payload, long timeoutMs) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        simulation.schedule(
                timeoutMs,
                () -> future.completeExceptionally(new PeerUnreachableException("timeout")));
        if (!isMessageLost()) {
            simulation.schedule(
                    messageDelayMs(),
                    () -> {
                        byte[] response =
                                handler.handle(from, payload).toCompletableFuture().join();
                        if (!isMessageLost()) {
                            simulation.schedule(messageDelayMs(), () -> future.complete(response));
                        }
                    });
        }
        return future;
    }

    /** A control node, which answers as the leader while it is. */
    private final class ControlNode {

        private final EndpointRegistry registry = new EndpointRegistry(simulation.time());
        private final FakeReplicationGroup group = new FakeReplicationGroup();
        private final QuarantineServer quarantine;
        private final ViewServer viewServer;

        ControlNode(int index) {
            quarantine =
                    new QuarantineServer(
                            registry,
                            () -> leader == index ? OptionalLong.of(term) : OptionalLong.empty(),
                            controlThread,
                            simulation.time(),
                            log);
            viewServer =
                    new ViewServer(
                            new TrafficReplica(),
                            () -> Optional.of(group),
                            registry,
                            new GatewayReports(simulation.time(), 2_000),
                            new LeavingEndpointReports(
                                    registry, new DecisionLog(simulation.time())),
                            quarantine,
                            List::of,
                            controlThread,
                            simulation.time(),
                            "control" + index);
        }
    }

    /** A gateway, which polls the leader that it knows. */
    final class Gateway implements PeerTransport {

        private final NodeId id;
        private final PromptPartGuard guard;
        private final ViewUpdater updater;
        private int knownLeader = leader;
        private final long startedMs = simulation.nowMs();
        private boolean isReady;
        private boolean isStopped;

        Gateway(int index) {
            id = new NodeId("gateway" + index);
            guard =
                    new PromptPartGuard(
                            new TrialClient(this, () -> Optional.of(id), Runnable::run),
                            simulation.time(),
                            new ForwardingLog(log, new ViewLease(simulation.time(), 1_000)));
            updater = new ViewUpdater(new TestPlatformDialect(), simulation.time());
            simulation.schedule(simulation.random().nextInt(250), this::poll);
        }

        PromptPartGuard guard() {
            return guard;
        }

        /** Returns whether the gateway has run for at least the given time. */
        boolean hasRunFor(long periodMs) {
            return simulation.nowMs() - startedMs >= periodMs;
        }

        private void poll() {
            if (isStopped) {
                return;
            }
            ViewRequest.Builder request = ViewRequest.newBuilder();
            updater.addKnownRevisions(request);
            guard.addReport(request);
            int asked = knownLeader;
            deliver(
                            (from, payload) ->
                                    asked == leader
                                            ? controlNodes
                                                    .get(asked)
                                                    .viewServer
                                                    .handle(from, payload)
                                            : CompletableFuture.completedFuture(new byte[0]),
                            id,
                            request.build().toByteArray(),
                            POLL_TIMEOUT_MS)
                    .whenComplete((payload, failure) -> handleResponse(payload));
        }

        private void handleResponse(byte[] payload) {
            if (payload == null || payload.length == 0) {
                knownLeader = (knownLeader + 1) % CONTROL_NODES;
                simulation.schedule(RETRY_DELAY_MS, this::poll);
                return;
            }
            try {
                updater.apply(ViewResponse.parseFrom(payload));
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalStateException("the leader sent an unreadable view", e);
            }
            isReady = true;
            guard.applyRecordedParts(updater.view().recordedParts());
            simulation.schedule(POLL_INTERVAL_MS, this::poll);
        }

        @Override
        public CompletableFuture<byte[]> request(
                NodeId to, PeerTopic topic, byte[] payload, Duration timeout) {
            return deliver(
                    controlNodes.get(knownLeader).quarantine::handleTrial,
                    id,
                    payload,
                    timeout.toMillis());
        }

        @Override
        public void register(PeerTopic topic, PeerHandler handler) {
            throw new UnsupportedOperationException("gateways receive no requests");
        }

        @Override
        public void setAddress(NodeId node, InetSocketAddress address) {
            throw new UnsupportedOperationException("addresses are not simulated");
        }

        @Override
        public void send(NodeId to, PeerTopic topic, byte[] payload) {
            throw new UnsupportedOperationException("one-way messages are not simulated");
        }

        @Override
        public TransportStatus status() {
            throw new UnsupportedOperationException("links are not simulated");
        }

        @Override
        public void close() {
            isStopped = true;
        }
    }
}
