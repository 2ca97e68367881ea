package org.cardamomthread.membership.simulation;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointCodec;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.gateway.CreditPermit;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.home.HomeSettings;
import org.cardamomthread.membership.node.NodeEntry;

/**
 * Simulates nodes, endpoints, requests and faults, interleaved at random from one seed. At each
 * start of a request it checks that the endpoint has no more requests in flight than its highest
 * concurrency limit within {@link #LIMIT_REDUCTION_WINDOW_MS}.
 */
public final class CreditSimulation {

    static final HomeSettings SETTINGS =
            new HomeSettings(2_000, 10, 1_500, 1_000, 250, 500, 4_000, 15_000);

    /**
     * The maximum time after a reduction of the limit during which requests may still arrive under
     * the old limit.
     */
    static final long LIMIT_REDUCTION_WINDOW_MS = SETTINGS.acquisitionWaitMs() + 100;

    private static final long STEP_MS = 20;
    private static final long TICK_INTERVAL_MS = 60;
    private static final long ANNOUNCEMENT_INTERVAL_MS = 500;
    private static final int MAX_REQUEST_MS = 12_000;
    private static final long IDLE_PHASE_MS = 4_000;
    private static final int MEAN_STEPS_PER_FAULT = 120;
    private static final int MAX_CLOCK_DRIFT_PER_MILLE = 10;
    private static final double LOSS_PROBABILITY = 0.03;
    private static final double START_PROBABILITY = 0.3;

    private record Event(long dueMs, long insertionOrder, Runnable action) {}

    private final ManualTimeSource time = new ManualTimeSource();
    private final Map<NodeId, SimulatedNode> running = new TreeMap<>();
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private Predicate<PeerMessage> dropFilter = message -> false;
    private final long seed;
    private final Random random;
    private final List<NodeEntry> seeds =
            List.of(
                    SimulatedNode.seed("a0", "perth-a"),
                    SimulatedNode.seed("a1", "perth-a"),
                    SimulatedNode.seed("a2", "perth-a"),
                    SimulatedNode.seed("b0", "perth-b"),
                    SimulatedNode.seed("b1", "perth-b"));
    private final Map<NodeId, SkewedTimeSource> clocks = new HashMap<>();
    private final Map<String, Long> partitionEndsMs = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::dueMs)
                            .thenComparingLong(Event::insertionOrder));
    private Function<EndpointAnnouncement, NodeId> homeOverride;
    private long nextInsertionOrder;
    private long nextIncarnation = 1;

    public CreditSimulation(long seed, int endpointCount) {
        this.seed = seed;
        this.random = new Random(seed);
        for (NodeEntry entry : seeds) {
            int driftPerMille =
                    random.nextInt(2 * MAX_CLOCK_DRIFT_PER_MILLE + 1) - MAX_CLOCK_DRIFT_PER_MILLE;
            clocks.put(
                    entry.id(),
                    new SkewedTimeSource(time, 1 + random.nextInt(100_000), driftPerMille));
            start(entry);
        }
        for (int i = 0; i < endpointCount; i++) {
            endpoints.add(
                    new SimulatedEndpoint("e" + i, 2 + random.nextInt(6), random.nextInt(100_000)));
        }
    }

    public long nowMs() {
        return time.monotonicMs();
    }

    public List<SimulatedEndpoint> endpoints() {
        return endpoints;
    }

    public Collection<SimulatedNode> nodes() {
        return running.values();
    }

    /** Drops all matching messages between different nodes. */
    public void setDropFilter(Predicate<PeerMessage> newDropFilter) {
        dropFilter = newDropFilter;
    }

    /** Sends each announcement to the home chosen by a function, regardless of the nodes' views. */
    public void overrideHome(Function<EndpointAnnouncement, NodeId> newHomeOverride) {
        homeOverride = newHomeOverride;
    }

    /** Advances the simulation, with or without random faults. */
    public void run(long durationMs, boolean injectFaults) {
        long endMs = nowMs() + durationMs;
        while (nowMs() < endMs) {
            time.advanceMs(STEP_MS);
            while (!events.isEmpty() && events.peek().dueMs() <= nowMs()) {
                events.poll().action().run();
            }
            if (nowMs() % TICK_INTERVAL_MS == 0) {
                tickNodes();
            }
            announceEndpoints();
            startRequests();
            if (injectFaults && random.nextInt(MEAN_STEPS_PER_FAULT) == 0) {
                injectFault();
            }
        }
    }

    public boolean isRunning(NodeId id) {
        return running.containsKey(id);
    }

    public SimulatedNode node(String id) {
        return running.get(new NodeId(id));
    }

    /** Makes an endpoint announce that it leaves, and ready again after the given time. */
    public void makeLeaving(SimulatedEndpoint endpoint, long durationMs) {
        if (endpoint.isUp()) {
            endpoint.setConcurrencyLimit(0, EndpointState.LEAVING, nowMs());
            scheduleWarmUp(endpoint, durationMs);
        }
    }

    /** Stops a node and restarts it without state after the given time. */
    public void kill(NodeId id, long downMs) {
        if (running.remove(id) != null) {
            NodeEntry entry =
                    seeds.stream().filter(seedEntry -> seedEntry.id().equals(id)).findAny().get();
            schedule(downMs, () -> start(entry));
        }
    }

    /** Suspends a node for the given time; its messages are processed afterwards. */
    public void freeze(SimulatedNode node, long durationMs) {
        node.freezeUntil(nowMs() + durationMs);
    }

    /** Drops all messages between two nodes that are sent within the given time. */
    public void partition(String one, String other, long durationMs) {
        partitionEndsMs.put(one + other, nowMs() + durationMs);
        partitionEndsMs.put(other + one, nowMs() + durationMs);
    }

    private void start(NodeEntry entry) {
        SkewedTimeSource clock = clocks.get(entry.id());
        running.put(
                entry.id(),
                new SimulatedNode(
                        entry, nextIncarnation++, seeds, SETTINGS, clock, random.nextLong()));
    }

    private void tickNodes() {
        for (SimulatedNode node : List.copyOf(running.values())) {
            if (node.frozenUntilMs() <= nowMs()) {
                send(node.id(), node.tick());
            }
        }
    }

    private void announceEndpoints() {
        for (SimulatedEndpoint endpoint : endpoints) {
            boolean due =
                    (nowMs() + endpoint.warmConcurrencyLimit() * STEP_MS) % ANNOUNCEMENT_INTERVAL_MS
                            < STEP_MS;
            List<SimulatedNode> nodes = List.copyOf(running.values());
            if (!endpoint.isUp() || !due || nodes.isEmpty() || random.nextInt(100) == 0) {
                continue;
            }
            EndpointAnnouncement announcement = endpoint.announce(nowMs(), random.nextInt(200));
            if (homeOverride == null) {
                SimulatedNode receiver = nodes.get(random.nextInt(nodes.size()));
                runOnNode(
                        receiver,
                        1 + random.nextInt(40),
                        () ->
                                send(
                                        receiver.id(),
                                        receiver.home().receiveAnnouncement(announcement)));
            } else {
                announceTo(homeOverride.apply(announcement), announcement);
            }
        }
    }

    private void announceTo(NodeId home, EndpointAnnouncement announcement) {
        SimulatedNode receiver = running.get(home);
        if (receiver != null) {
            PeerMessage message =
                    PeerMessage.newBuilder()
                            .setAnnouncement(EndpointCodec.toMessage(announcement))
                            .build();
            runOnNode(
                    receiver,
                    1 + random.nextInt(80),
                    () -> send(home, receiver.receive(home, message)));
        }
    }

    private void startRequests() {
        for (SimulatedNode node : running.values()) {
            if (isIdle(node)) {
                continue;
            }
            for (SimulatedEndpoint endpoint : endpoints) {
                if (node.frozenUntilMs() <= nowMs() && random.nextDouble() < START_PROBABILITY) {
                    Optional<CreditPermit> acquired = node.pool().tryAcquire(endpoint.id());
                    acquired.ifPresent(permit -> startRequest(node, endpoint, permit));
                }
            }
        }
    }

    /** Gives each node phases without client requests, so that credits also remain unused. */
    private boolean isIdle(SimulatedNode node) {
        return (nowMs() / IDLE_PHASE_MS + Math.floorMod(node.id().hashCode(), 5)) % 3 == 0;
    }

    private void startRequest(SimulatedNode node, SimulatedEndpoint endpoint, CreditPermit permit) {
        runOnNode(
                node,
                random.nextInt(40),
                () -> {
                    if (permit.maySend()) {
                        schedule(random.nextInt(40), () -> deliverRequest(node, endpoint, permit));
                    } else {
                        permit.release();
                    }
                });
    }

    private void deliverRequest(
            SimulatedNode node, SimulatedEndpoint endpoint, CreditPermit permit) {
        if (!endpoint.isUp()) {
            runOnNode(node, random.nextInt(40), permit::release);
            return;
        }
        endpoint.beginRequest(nowMs());
        node.incrementStartCount();
        int limit = endpoint.maxConcurrencyLimit(nowMs(), LIMIT_REDUCTION_WINDOW_MS);
        assertTrue(
                endpoint.inFlight() <= limit,
                String.format(
                        "seed %d: at %d ms %s has %d requests in flight, limit %d",
                        seed, nowMs(), endpoint.id(), endpoint.inFlight(), limit));
        long incarnation = endpoint.incarnation();
        schedule(
                100 + random.nextInt(MAX_REQUEST_MS - 100),
                () -> {
                    if (endpoint.isUp() && endpoint.incarnation() == incarnation) {
                        endpoint.endRequest(nowMs());
                    }
                    runOnNode(node, random.nextInt(40), permit::release);
                });
    }

    private void injectFault() {
        SimulatedEndpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
        List<SimulatedNode> nodes = List.copyOf(running.values());
        SimulatedNode node = nodes.get(random.nextInt(nodes.size()));
        int durationMs = 200 + random.nextInt(10_000);
        switch (random.nextInt(6)) {
            case 0 -> {
                if (nodes.size() > 2) {
                    kill(node.id(), durationMs);
                }
            }
            case 1 -> freeze(node, durationMs);
            case 2 ->
                    partition(
                            node.id().value(),
                            nodes.get(random.nextInt(nodes.size())).id().value(),
                            durationMs);
            case 3 -> makeCold(endpoint, durationMs);
            case 4 -> restart(endpoint, durationMs);
            default -> makeLeaving(endpoint, durationMs);
        }
    }

    /** Limits an endpoint to one request, as with empty caches, for the given time. */
    public void makeCold(SimulatedEndpoint endpoint, long durationMs) {
        if (endpoint.isUp()) {
            endpoint.setConcurrencyLimit(1, EndpointState.COLD, nowMs());
            scheduleWarmUp(endpoint, durationMs);
        }
    }

    /** Stops an endpoint and restarts it with empty caches after the given time. */
    public void restart(SimulatedEndpoint endpoint, long downMs) {
        if (endpoint.isUp()) {
            endpoint.stop(nowMs());
            schedule(
                    downMs,
                    () -> {
                        endpoint.restart(1, nowMs());
                        scheduleWarmUp(endpoint, 3_000);
                    });
        }
    }

    private void scheduleWarmUp(SimulatedEndpoint endpoint, long delayMs) {
        schedule(
                delayMs,
                () -> {
                    if (endpoint.isUp()) {
                        endpoint.setConcurrencyLimit(
                                endpoint.warmConcurrencyLimit(), EndpointState.READY, nowMs());
                    }
                });
    }

    private void send(NodeId from, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            boolean local = message.to().equals(from);
            if (local) {
                deliver(from, message, 0);
            } else if (random.nextDouble() >= LOSS_PROBABILITY
                    && !dropFilter.test(message.message())) {
                deliver(from, message, delayMs());
                if (random.nextInt(30) == 0) {
                    deliver(from, message, delayMs());
                }
            }
        }
    }

    private long delayMs() {
        return random.nextInt(50) == 0 ? random.nextInt(3_000) : random.nextInt(40);
    }

    private void deliver(NodeId from, OutgoingMessage message, long delayMs) {
        long partitionEndMs = partitionEndsMs.getOrDefault(from.value() + message.to().value(), 0L);
        SimulatedNode receiver = running.get(message.to());
        if (receiver != null && partitionEndMs <= nowMs()) {
            runOnNode(
                    receiver,
                    delayMs,
                    () -> send(receiver.id(), receiver.receive(from, message.message())));
        }
    }

    /** Runs an action on a node once it is not frozen, unless the node is killed before. */
    private void runOnNode(SimulatedNode node, long delayMs, Runnable action) {
        schedule(
                delayMs,
                () -> {
                    if (running.get(node.id()) != node) {
                        return;
                    }
                    if (node.frozenUntilMs() > nowMs()) {
                        runOnNode(node, node.frozenUntilMs() - nowMs(), action);
                    } else {
                        action.run();
                    }
                });
    }

    private void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs() + delayMs, nextInsertionOrder++, action));
    }
}
