package org.cardamomthread.daemon.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.gateway.GuardedPrompt;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.LossyPeerNetwork;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Simulates nodes and the endpoints that they share. A request with a deadly part crashes its
 * endpoint, with all requests on it, before its answer begins.
 */
final class CrashingFleet {

    static final String SOUND = "";

    private static final ServiceId SERVICE = new ServiceId("chat");
    private static final int ENDPOINTS = 12;
    private static final long TICK_MS = 250;
    private static final long CRASH_DELAY_MS = 30;
    private static final long FIRST_TOKEN_MS = 60;
    private static final long DURATION_MS = 400;
    private static final long RESTART_MS = 3_000;
    private static final int MAX_ATTEMPTS = 2;

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final LossyPeerNetwork network;
    private final Random random;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final Map<String, List<Long>> crashesMs = new HashMap<>();
    private final Map<String, List<Long>> deadlySentMs = new HashMap<>();
    private final Set<String> harmless = new HashSet<>();
    private final List<SoundRequest> soundRequests = new ArrayList<>();
    private long requestCount;

    /** The fate of a sound request, which has begun if its first attempt was answered. */
    record SoundRequest(long sentMs, boolean hasBegun) {}

    private static final class SimulatedNode {
        private final NodeId id;
        private SharedPromptGuard guard;
        private long incarnation;

        SimulatedNode(NodeId id) {
            this.id = id;
        }
    }

    private static final class SimulatedEndpoint {
        private final String name;
        private final List<Attempt> running = new ArrayList<>();
        private long incarnation = 1;
        private boolean isUp = true;

        SimulatedEndpoint(String name) {
            this.name = name;
        }
    }

    private final class Attempt {
        private final SharedPromptGuard guard;
        private final GuardedPrompt prompt;
        private final String deadlyPart;
        private final long sentMs;
        private final int number;
        private boolean hasBegun;

        Attempt(
                SharedPromptGuard guard,
                GuardedPrompt prompt,
                String deadlyPart,
                long sentMs,
                int number) {
            this.guard = guard;
            this.prompt = prompt;
            this.deadlyPart = deadlyPart;
            this.sentMs = sentMs;
            this.number = number;
        }
    }

    CrashingFleet(int nodeCount, long seed, int maxDelayMs, double lossRate) {
        network = new LossyPeerNetwork(timeSource, seed, maxDelayMs, lossRate);
        random = new Random(seed);
        for (int i = 0; i < nodeCount; i++) {
            nodes.add(new SimulatedNode(new NodeId("node-" + i)));
        }
        nodes.forEach(this::restart);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new SimulatedEndpoint("e" + i));
        }
    }

    long nowMs() {
        return timeSource.monotonicMs();
    }

    int countQuarantined() {
        return nodes.stream().mapToInt(node -> node.guard.countQuarantined()).sum();
    }

    /** Returns when endpoints crashed on requests with a deadly part. */
    List<Long> crashesMs(String deadlyPart) {
        return crashesMs.getOrDefault(deadlyPart, List.of());
    }

    /** Returns how many requests with a deadly part were sent to endpoints since a time. */
    long countDeadlySent(String deadlyPart, long sinceMs) {
        return deadlySentMs.getOrDefault(deadlyPart, List.of()).stream()
                .filter(sentMs -> sentMs > sinceMs)
                .count();
    }

    /** Returns the share of sound requests in a period that began at the first attempt. */
    double soundShare(long fromMs, long toMs) {
        List<SoundRequest> requests =
                soundRequests.stream()
                        .filter(request -> request.sentMs() >= fromMs && request.sentMs() < toMs)
                        .toList();
        return (double) requests.stream().filter(SoundRequest::hasBegun).count()
                / Math.max(1, requests.size());
    }

    /** Lets endpoints answer requests with a part that was deadly. */
    void setHarmless(String deadlyPart) {
        harmless.add(deadlyPart);
    }

    /** Stops a node and starts it without its memory. */
    void restart(int node) {
        restart(nodes.get(node));
    }

    void setIsolated(int node, boolean isIsolated) {
        network.setIsolated(nodes.get(node).id, isIsolated);
    }

    /** Crashes all endpoints at once, whatever runs on them. */
    void crashAllEndpoints() {
        endpoints.forEach(this::crash);
    }

    /** Runs the fleet with Poisson arrivals of sound requests and of those with deadly parts. */
    void run(long durationMs, double soundPerS, Map<String, Double> deadlyPerS) {
        long endMs = nowMs() + durationMs;
        while (nowMs() < endMs) {
            if (nowMs() % TICK_MS == 0) {
                nodes.forEach(node -> node.guard.tick());
            }
            if (random.nextDouble() < soundPerS / 1_000) {
                sendRequest(SOUND);
            }
            deadlyPerS.forEach(
                    (part, rate) -> {
                        if (random.nextDouble() < rate / 1_000) {
                            sendRequest(part);
                        }
                    });
            network.advanceMs(1);
        }
    }

    private void restart(SimulatedNode node) {
        node.incarnation++;
        node.guard =
                new SharedPromptGuard(
                        new Peer(node.id, node.incarnation),
                        () ->
                                nodes.stream()
                                        .filter(other -> other != node)
                                        .map(other -> new Peer(other.id, other.incarnation))
                                        .toList(),
                        network.createTransport(node.id),
                        Runnable::run,
                        timeSource,
                        new DecisionLog(timeSource));
        node.guard.register();
    }

    private void sendRequest(String deadlyPart) {
        requestCount++;
        SharedPromptGuard guard = nodes.get(random.nextInt(nodes.size())).guard;
        GuardedPrompt prompt =
                guard.createPrompt(
                        new RequestId("r" + requestCount), SERVICE, createPrefix(deadlyPart));
        send(new Attempt(guard, prompt, deadlyPart, nowMs(), 1));
    }

    /** Creates the blocks of the system prompt, of a conversation or deadly part, and others. */
    private PromptPrefix createPrefix(String deadlyPart) {
        List<Long> blocks = new ArrayList<>();
        for (long i = 0; i < 6; i++) {
            blocks.add(i + 1);
        }
        if (deadlyPart.isEmpty()) {
            long conversation = random.nextInt(20);
            for (long i = 0; i < 3; i++) {
                blocks.add(1_000 + 10 * conversation + i);
            }
        } else {
            for (long i = 0; i < 3; i++) {
                blocks.add(100_000L * deadlyPart.hashCode() + i);
            }
        }
        int ownBlocks = 1 + random.nextInt(3);
        for (int i = 0; i < ownBlocks; i++) {
            blocks.add(1_000_000_000L + 10 * requestCount + i);
        }
        return PromptPrefix.ofHashes(blocks.stream().mapToLong(Long::longValue).toArray(), 16);
    }

    private void send(Attempt attempt) {
        if (attempt.guard.getRejectionMs(attempt.prompt) > 0) {
            finish(attempt, false);
            return;
        }
        attempt.guard.decide(
                attempt.prompt,
                decision -> {
                    List<SimulatedEndpoint> up =
                            endpoints.stream().filter(endpoint -> endpoint.isUp).toList();
                    if (!decision.maySend()) {
                        finish(attempt, false);
                    } else if (up.isEmpty()) {
                        attempt.guard.releaseTrial(attempt.prompt);
                        finish(attempt, false);
                    } else {
                        start(attempt, up.get(random.nextInt(up.size())));
                    }
                });
    }

    private void start(Attempt attempt, SimulatedEndpoint endpoint) {
        endpoint.running.add(attempt);
        String part = attempt.deadlyPart;
        if (!part.isEmpty()) {
            deadlySentMs.computeIfAbsent(part, key -> new ArrayList<>()).add(nowMs());
        }
        if (!part.isEmpty() && !harmless.contains(part)) {
            network.schedule(CRASH_DELAY_MS, () -> crashBy(attempt, endpoint));
            return;
        }
        network.schedule(FIRST_TOKEN_MS, () -> begin(attempt, endpoint));
        network.schedule(DURATION_MS, () -> endpoint.running.remove(attempt));
    }

    private void begin(Attempt attempt, SimulatedEndpoint endpoint) {
        if (endpoint.running.contains(attempt)) {
            attempt.hasBegun = true;
            attempt.guard.recordAnswer(attempt.prompt, nowMs() - FIRST_TOKEN_MS);
            finish(attempt, true);
        }
    }

    private void crashBy(Attempt attempt, SimulatedEndpoint endpoint) {
        if (endpoint.running.contains(attempt)) {
            crashesMs.computeIfAbsent(attempt.deadlyPart, part -> new ArrayList<>()).add(nowMs());
            crash(endpoint);
        }
    }

    private void crash(SimulatedEndpoint endpoint) {
        if (!endpoint.isUp) {
            return;
        }
        endpoint.isUp = false;
        List<Attempt> lost = List.copyOf(endpoint.running);
        endpoint.running.clear();
        lost.forEach(attempt -> lose(attempt, endpoint.name + "/" + endpoint.incarnation));
        network.schedule(
                RESTART_MS,
                () -> {
                    endpoint.isUp = true;
                    endpoint.incarnation++;
                });
    }

    private void lose(Attempt attempt, String endpoint) {
        if (attempt.hasBegun) {
            return;
        }
        boolean isSuspect = attempt.guard.recordLoss(attempt.prompt, endpoint);
        if (isSuspect || attempt.number == MAX_ATTEMPTS) {
            finish(attempt, false);
        } else {
            send(
                    new Attempt(
                            attempt.guard,
                            attempt.prompt,
                            attempt.deadlyPart,
                            attempt.sentMs,
                            attempt.number + 1));
        }
    }

    private void finish(Attempt attempt, boolean hasBegun) {
        if (attempt.deadlyPart.isEmpty()) {
            soundRequests.add(new SoundRequest(attempt.sentMs, hasBegun && attempt.number == 1));
        }
    }
}
