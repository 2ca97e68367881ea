package org.cardamomthread.daemon.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.view.EndpointIncarnation;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.TrialDecision;

/**
 * Simulates the requests of a service at many gateways, whose endpoints may crash or reset their
 * connections. The guards, the view polls and the leaders are those of the product; time is
 * simulated. Runs on one thread.
 */
final class QuarantineSimulation implements AutoCloseable {

    static final ServiceId SERVICE = new ServiceId("chat");
    static final int GATEWAYS = 80;
    static final int ENDPOINTS = 60;

    /** Time within which a change is known at all nodes that are connected. */
    static final long CONTACT_MS = 3_000;

    private static final int MAX_SENDS = 2;
    private static final int CLIENT_RETRIES = 2;
    private static final int SUBJECTS = 300;
    private static final int KINDS = 3;
    private static final int REPORT_INTERVAL_MS = 500;
    private static final int REQUESTS_PER_S = 400;

    private final ManualTimeSource time = new ManualTimeSource();
    private final SplittableRandom random;
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final SimulatedFleet fleet;
    private final Map<String, List<Long>> crashesMs = new HashMap<>();
    private final Map<String, List<Long>> deadlySendsMs = new HashMap<>();
    private final List<SimulatedCall> soundCalls = new ArrayList<>();

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final boolean isGuarded;
    private long eventCount;
    private long callCount;

    private record Event(long atMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    QuarantineSimulation(long seed, boolean isGuarded) {
        random = new SplittableRandom(seed);
        this.isGuarded = isGuarded;
        time.advanceMs(1_000);
        fleet = new SimulatedFleet(this, GATEWAYS);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new SimulatedEndpoint(i));
        }
    }

    ManualTimeSource time() {
        return time;
    }

    SplittableRandom random() {
        return random;
    }

    List<SimulatedEndpoint> endpoints() {
        return endpoints;
    }

    SimulatedFleet fleet() {
        return fleet;
    }

    List<SimulatedCall> soundCalls() {
        return soundCalls;
    }

    /** Returns when a part crashed endpoints. */
    List<Long> crashesMs(String part) {
        return crashesMs.get(part);
    }

    /** Returns when a part was sent by gateways that had run for {@link #CONTACT_MS}. */
    List<Long> deadlySendsMs(String part) {
        return deadlySendsMs.get(part);
    }

    long nowMs() {
        return time.monotonicMs();
    }

    void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs() + Math.max(0, delayMs), eventCount++, action));
    }

    void scheduleAt(long atMs, Runnable action) {
        schedule(atMs - nowMs(), action);
    }

    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().atMs() <= endMs) {
            Event event = events.poll();
            time.advanceMs(event.atMs() - nowMs());
            event.action().run();
        }
        time.advanceMs(endMs - nowMs());
    }

    /** Starts sound requests, which share their first parts and subjects. */
    void startSoundRequests(long fromMs, long untilMs) {
        scheduleAt(
                fromMs, () -> scheduleArrivals(REQUESTS_PER_S, untilMs, this::startSoundRequest));
    }

    private void startSoundRequest() {
        SimulatedCall call = new SimulatedCall(soundParts(), Optional.empty(), 0);
        soundCalls.add(call);
        call.start();
    }

    /** Starts requests with a part that crashes the endpoints from a moment on. */
    void startDeadlyRequests(String part, double share, long fromMs, long untilMs) {
        crashesMs.put(part, new ArrayList<>());
        deadlySendsMs.put(part, new ArrayList<>());
        scheduleAt(
                fromMs,
                () ->
                        scheduleArrivals(
                                REQUESTS_PER_S * share,
                                untilMs,
                                () -> startDeadlyRequest(part, CLIENT_RETRIES)));
    }

    private void startDeadlyRequest(String part, int retries) {
        List<String> parts = new ArrayList<>(soundParts());
        parts.add(1 + random.nextInt(parts.size()), part);
        new SimulatedCall(parts, Optional.of(part), retries).start();
    }

    private void scheduleArrivals(double perSecond, long untilMs, Runnable arrival) {
        long gapMs = Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
        if (nowMs() + gapMs < untilMs) {
            schedule(
                    gapMs,
                    () -> {
                        arrival.run();
                        scheduleArrivals(perSecond, untilMs, arrival);
                    });
        }
    }

    private List<String> soundParts() {
        int kind = random.nextInt(KINDS);
        int subject = (int) (SUBJECTS * random.nextDouble() * random.nextDouble());
        return List.of("kind" + kind, "subject" + kind + "-" + subject);
    }

    @Override
    public void close() {
        fleet.close();
    }

    /** An endpoint that reports to the control nodes and crashes with all its requests. */
    final class SimulatedEndpoint {

        private final int index;
        private final List<SimulatedCall> calls = new ArrayList<>();
        private long startTimeMs = 1;
        private long sequence;
        private boolean isUp = true;
        private long downSinceMs;
        private double resetShare;
        private boolean crashesOnEverything;

        SimulatedEndpoint(int index) {
            this.index = index;
            schedule(random.nextInt(REPORT_INTERVAL_MS), this::report);
        }

        void setResetShare(double share) {
            resetShare = share;
        }

        void setCrashesOnEverything(boolean crashes) {
            crashesOnEverything = crashes;
        }

        EndpointIncarnation incarnation() {
            return new EndpointIncarnation(new EndpointId("e" + index), startTimeMs);
        }

        private void report() {
            if (isUp) {
                sequence++;
                fleet.acceptReport(
                        new EndpointReport(
                                incarnation().endpoint(),
                                startTimeMs,
                                sequence,
                                SERVICE,
                                NetworkAddress.parse("10.0.0." + index + ":80"),
                                new DataCentreId("perth-a"),
                                new VersionId("v1"),
                                64,
                                false,
                                0,
                                false));
            }
            schedule(REPORT_INTERVAL_MS, this::report);
        }

        void crash(long downMs) {
            if (!isUp) {
                return;
            }
            isUp = false;
            downSinceMs = nowMs();
            List.copyOf(calls).forEach(call -> schedule(random.nextInt(20), call::lose));
            calls.clear();
            schedule(downMs, this::restart);
        }

        private void restart() {
            startTimeMs = nowMs();
            sequence = 0;
            isUp = true;
        }

        private boolean isOffered() {
            return isUp || nowMs() - downSinceMs < 300;
        }
    }

    /** A request at one gateway, sent to a second endpoint as {@link ForwardedCall} does. */
    final class SimulatedCall {

        private final long arrivedMs = nowMs();
        private final String firstPart;
        private final String secondPart;
        private boolean isAnswered;
        private boolean isRejected;
        private final SimulatedFleet.Gateway gateway = fleet.chooseGateway();
        private final List<PromptPartKey> keys;
        private final Optional<String> deadly;
        private final int retries;
        private final PromptPartGuard guard = gateway.guard();
        private final String trial = guard.createTrialId(new RequestId("r" + callCount++));
        private SimulatedEndpoint endpoint;
        private int run;
        private int sends;
        private int unsent;
        private boolean isOnTrial;
        private long sentMs;

        SimulatedCall(List<String> parts, Optional<String> deadly, int retries) {
            this.deadly = deadly;
            this.retries = retries;
            firstPart = parts.get(0);
            secondPart = parts.get(1);
            keys = parts.stream().map(part -> PromptPartKey.of(SERVICE, part)).toList();
        }

        long arrivedMs() {
            return arrivedMs;
        }

        String firstPart() {
            return firstPart;
        }

        String secondPart() {
            return secondPart;
        }

        boolean isAnswered() {
            return isAnswered;
        }

        boolean isRejected() {
            return isRejected;
        }

        void start() {
            if (isGuarded) {
                guard.decide(keys, trial, this::handleDecision);
            } else {
                handleDecision(TrialDecision.UNRESTRICTED);
            }
        }

        private void handleDecision(TrialDecision decision) {
            isOnTrial = decision.kind() == TrialDecision.Kind.TRIAL;
            if (decision.maySend()) {
                select();
                return;
            }
            isRejected = true;
            if (retries > 0) {
                schedule(
                        Math.max(300, decision.retryAfterMs()),
                        () -> startDeadlyRequest(deadly.orElseThrow(), retries - 1));
            }
        }

        private void select() {
            List<SimulatedEndpoint> offered =
                    endpoints.stream().filter(SimulatedEndpoint::isOffered).toList();
            if (offered.isEmpty() || unsent > 2) {
                release();
                return;
            }
            endpoint = offered.get(random.nextInt(offered.size()));
            if (!endpoint.isUp) {
                unsent++;
                schedule(5, this::start);
                return;
            }
            sends++;
            sentMs = nowMs();
            run++;
            int currentRun = run;
            endpoint.calls.add(this);
            if (deadly.isPresent() && gateway.hasRunFor(CONTACT_MS)) {
                deadlySendsMs.get(deadly.get()).add(nowMs());
            }
            if (random.nextDouble() < endpoint.resetShare) {
                schedule(30, () -> ifRunning(currentRun, this::lose));
            } else {
                schedule(100 + random.nextInt(500), () -> ifRunning(currentRun, this::beginAnswer));
            }
        }

        private void ifRunning(int expectedRun, Runnable action) {
            if (run == expectedRun && endpoint.calls.contains(this)) {
                action.run();
            }
        }

        private void beginAnswer() {
            if (deadly.isPresent() || endpoint.crashesOnEverything) {
                deadly.ifPresent(part -> crashesMs.get(part).add(nowMs()));
                endpoint.crash(3_000 + random.nextInt(2_000));
                return;
            }
            isAnswered = true;
            guard.recordAnswer(SERVICE, keys, sentMs, isOnTrial);
            isOnTrial = false;
            int currentRun = run;
            schedule(1_500, () -> ifRunning(currentRun, () -> endpoint.calls.remove(this)));
        }

        private void lose() {
            endpoint.calls.remove(this);
            if (isAnswered) {
                return;
            }
            Optional<String> lostTrial = isOnTrial ? Optional.of(trial) : Optional.empty();
            isOnTrial = false;
            List<PromptPartKey> suspects =
                    guard.recordLoss(keys, endpoint.incarnation(), lostTrial);
            if ((suspects.isEmpty() || !isGuarded) && sends < MAX_SENDS) {
                schedule(5, this::start);
            }
        }

        private void release() {
            if (isOnTrial) {
                isOnTrial = false;
                guard.releaseTrial(keys, trial);
            }
        }
    }
}
