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
import org.cardamomthread.membership.gateway.CreditHold;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.home.HomeSettings;
import org.cardamomthread.membership.node.NodeEntry;

/**
 * Interleaves nodes, endpoints, requests and faults at random, from one seed, and checks at every
 * start that an endpoint has no more in flight than it bore within the stated window.
 */
public final class CreditSimulation {

    static final HomeSettings SETTINGS =
            new HomeSettings(2_000, 10, 1_500, 1_000, 250, 500, 4_000, 15_000);

    /** Longest time from a fall of what an endpoint bears to the last start by the old figure. */
    static final long FALL_WINDOW_MS = SETTINGS.acquisitionMs() + 100;

    private static final long STEP_MS = 20;
    private static final long TICK_MS = 60;
    private static final long ANNOUNCE_MS = 500;
    private static final int MAX_REQUEST_MS = 12_000;
    private static final long PHASE_MS = 4_000;
    private static final int FAULT_STEPS = 120;
    private static final int MAX_RATE_PER_MILLE = 10;
    private static final double LOSS_SHARE = 0.03;
    private static final double START_CHANCE = 0.3;

    private record Event(long dueMs, long order, Runnable action) {}

    private final ManualTimeSource time = new ManualTimeSource();
    private final Map<NodeId, SimulatedNode> running = new TreeMap<>();
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private Predicate<PeerMessage> dropped = message -> false;
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
    private final Map<String, Long> cutUntilMs = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::dueMs).thenComparingLong(Event::order));
    private Function<EndpointAnnouncement, NodeId> forcedHome;
    private long nextOrder;
    private long nextIncarnation = 1;

    public CreditSimulation(long seed, int endpointCount) {
        this.seed = seed;
        this.random = new Random(seed);
        for (NodeEntry entry : seeds) {
            int rate = random.nextInt(2 * MAX_RATE_PER_MILLE + 1) - MAX_RATE_PER_MILLE;
            clocks.put(entry.id(), new SkewedTimeSource(time, 1 + random.nextInt(100_000), rate));
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

    public void drop(Predicate<PeerMessage> newDropped) {
        dropped = newDropped;
    }

    /** Sends each announcement to the home that a function names, whatever the nodes' views. */
    public void forceHome(Function<EndpointAnnouncement, NodeId> newForcedHome) {
        forcedHome = newForcedHome;
    }

    public void run(long durationMs, boolean faults) {
        long endMs = nowMs() + durationMs;
        while (nowMs() < endMs) {
            time.advanceMs(STEP_MS);
            while (!events.isEmpty() && events.peek().dueMs() <= nowMs()) {
                events.poll().action().run();
            }
            if (nowMs() % TICK_MS == 0) {
                tickNodes();
            }
            announceEndpoints();
            startRequests();
            if (faults && random.nextInt(FAULT_STEPS) == 0) {
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

    public void turnLeaving(SimulatedEndpoint endpoint, long durationMs) {
        if (endpoint.isUp()) {
            endpoint.setBears(0, EndpointState.LEAVING, nowMs());
            warmLater(endpoint, durationMs);
        }
    }

    public void kill(NodeId id, long downMs) {
        if (running.remove(id) != null) {
            NodeEntry entry =
                    seeds.stream().filter(seedEntry -> seedEntry.id().equals(id)).findAny().get();
            after(downMs, () -> start(entry));
        }
    }

    public void freeze(SimulatedNode node, long durationMs) {
        node.freezeUntil(nowMs() + durationMs);
    }

    public void cut(String one, String other, long durationMs) {
        cutUntilMs.put(one + other, nowMs() + durationMs);
        cutUntilMs.put(other + one, nowMs() + durationMs);
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
            boolean due = (nowMs() + endpoint.warmRequests() * STEP_MS) % ANNOUNCE_MS < STEP_MS;
            List<SimulatedNode> nodes = List.copyOf(running.values());
            if (!endpoint.isUp() || !due || nodes.isEmpty() || random.nextInt(100) == 0) {
                continue;
            }
            EndpointAnnouncement announcement = endpoint.announce(nowMs(), random.nextInt(200));
            if (forcedHome == null) {
                SimulatedNode receiver = nodes.get(random.nextInt(nodes.size()));
                onNode(
                        receiver,
                        1 + random.nextInt(40),
                        () -> send(receiver.id(), receiver.home().announce(announcement)));
            } else {
                announceTo(forcedHome.apply(announcement), announcement);
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
            onNode(
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
                if (node.frozenUntilMs() <= nowMs() && random.nextDouble() < START_CHANCE) {
                    Optional<CreditHold> hold = node.pool().tryAcquire(endpoint.id());
                    hold.ifPresent(value -> startRequest(node, endpoint, value));
                }
            }
        }
    }

    /** Gives each node phases without callers, so that credits also lie unused. */
    private boolean isIdle(SimulatedNode node) {
        return (nowMs() / PHASE_MS + Math.floorMod(node.id().hashCode(), 5)) % 3 == 0;
    }

    private void startRequest(SimulatedNode node, SimulatedEndpoint endpoint, CreditHold hold) {
        onNode(
                node,
                random.nextInt(40),
                () -> {
                    if (hold.mayStart()) {
                        after(random.nextInt(40), () -> arrive(node, endpoint, hold));
                    } else {
                        hold.release();
                    }
                });
    }

    private void arrive(SimulatedNode node, SimulatedEndpoint endpoint, CreditHold hold) {
        if (!endpoint.isUp()) {
            onNode(node, random.nextInt(40), hold::release);
            return;
        }
        endpoint.begin(nowMs());
        node.countStart();
        int allowed = endpoint.mostBorne(nowMs(), FALL_WINDOW_MS);
        assertTrue(
                endpoint.inFlight() <= allowed,
                String.format(
                        "seed %d: at %d ms %s has %d in flight but bears %d",
                        seed, nowMs(), endpoint.id(), endpoint.inFlight(), allowed));
        long incarnation = endpoint.incarnation();
        after(
                100 + random.nextInt(MAX_REQUEST_MS - 100),
                () -> {
                    if (endpoint.isUp() && endpoint.incarnation() == incarnation) {
                        endpoint.end(nowMs());
                    }
                    onNode(node, random.nextInt(40), hold::release);
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
                    cut(
                            node.id().value(),
                            nodes.get(random.nextInt(nodes.size())).id().value(),
                            durationMs);
            case 3 -> turnCold(endpoint, durationMs);
            case 4 -> restart(endpoint, durationMs);
            default -> turnLeaving(endpoint, durationMs);
        }
    }

    public void turnCold(SimulatedEndpoint endpoint, long durationMs) {
        if (endpoint.isUp()) {
            endpoint.setBears(1, EndpointState.COLD, nowMs());
            warmLater(endpoint, durationMs);
        }
    }

    public void restart(SimulatedEndpoint endpoint, long downMs) {
        if (endpoint.isUp()) {
            endpoint.stop(nowMs());
            after(
                    downMs,
                    () -> {
                        endpoint.restart(1, nowMs());
                        warmLater(endpoint, 3_000);
                    });
        }
    }

    private void warmLater(SimulatedEndpoint endpoint, long delayMs) {
        after(
                delayMs,
                () -> {
                    if (endpoint.isUp()) {
                        endpoint.setBears(endpoint.warmRequests(), EndpointState.READY, nowMs());
                    }
                });
    }

    private void send(NodeId from, List<OutgoingMessage> messages) {
        for (OutgoingMessage message : messages) {
            boolean local = message.to().equals(from);
            if (local) {
                deliver(from, message, 0);
            } else if (random.nextDouble() >= LOSS_SHARE && !dropped.test(message.message())) {
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
        long untilMs = cutUntilMs.getOrDefault(from.value() + message.to().value(), 0L);
        SimulatedNode receiver = running.get(message.to());
        if (receiver != null && untilMs <= nowMs()) {
            onNode(
                    receiver,
                    delayMs,
                    () -> send(receiver.id(), receiver.receive(from, message.message())));
        }
    }

    /** Runs an action in a node's process, after it thaws, unless it was killed meanwhile. */
    private void onNode(SimulatedNode node, long delayMs, Runnable action) {
        after(
                delayMs,
                () -> {
                    if (running.get(node.id()) != node) {
                        return;
                    }
                    if (node.frozenUntilMs() > nowMs()) {
                        onNode(node, node.frozenUntilMs() - nowMs(), action);
                    } else {
                        action.run();
                    }
                });
    }

    private void after(long delayMs, Runnable action) {
        events.add(new Event(nowMs() + delayMs, nextOrder++, action));
    }
}
