package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.cardamomthread.daemon.forwarding.QuarantineSimulation.SimulatedCall;
import org.cardamomthread.daemon.forwarding.QuarantineSimulation.SimulatedEndpoint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the quarantine of prompt parts with many gateways and endpoints, late and lost messages and
 * requests of others on the endpoints that crash.
 */
public class QuarantineScaleTests {

    private static final long START_MS = 3_000;
    private static final long FAULT_START_MS = 10_000;
    private static final long FAULT_END_MS = 40_000;
    private static final long END_MS = 50_000;

    private static final long CONTACT_MS = QuarantineSimulation.CONTACT_MS;
    private static final int CRASHES_BEFORE_BOUND = 5;
    private static final int MAX_LATE_SENDS = 3;
    private static final int MIN_CALLS = 20;
    private static final double[] SHARES = {0.05, 0.2, 0.4};
    private static final int SEEDS = 2;

    @DataProvider
    public Object[][] deadlyParts() {
        List<Object[]> rows = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            for (double share : SHARES) {
                rows.add(new Object[] {seed, share, List.of("deadly")});
                rows.add(new Object[] {seed, share, List.of("deadly", "fatal")});
            }
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "deadlyParts")
    public void keepsRequestsWithDeadlyPartsFromEndpoints(
            int seed, double share, List<String> parts) {
        try (QuarantineSimulation simulation = simulate(seed, share, parts, true, s -> {})) {
            parts.forEach(part -> assertFewLateSends(simulation, part));
            assertSoundRequestsAnswered(simulation, parts);
        }
    }

    @Test
    public void exceedsTheBoundWithoutTheGuard() {
        List<String> parts = List.of("deadly");
        try (QuarantineSimulation simulation = simulate(1, 0.05, parts, false, s -> {})) {
            assertTrue(countLateSends(simulation, "deadly") > MAX_LATE_SENDS);
        }
    }

    @Test(dataProvider = "deadlyParts")
    public void keepsQuarantineOverLeaderChangesAndRestartsOfGateways(
            int seed, double share, List<String> parts) {
        Consumer<QuarantineSimulation> changes =
                simulation -> {
                    for (long atMs = FAULT_START_MS + 4_000; atMs < FAULT_END_MS; atMs += 8_000) {
                        simulation.scheduleAt(atMs, simulation.fleet()::changeLeader);
                    }
                    for (int i = 0; i < QuarantineSimulation.GATEWAYS; i++) {
                        int index = i;
                        simulation.scheduleAt(
                                FAULT_START_MS + 300 * i,
                                () -> simulation.fleet().restartGateway(index));
                    }
                };
        try (QuarantineSimulation simulation = simulate(seed, share, parts, true, changes)) {
            parts.forEach(part -> assertFewLateSends(simulation, part));
            assertSoundRequestsAnswered(simulation, parts);
        }
    }

    @DataProvider
    public Object[][] faultsWithoutDeadlyPart() {
        List<Object[]> rows = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            rows.add(new Object[] {"waves of crashes", seed, crashWaves()});
            rows.add(new Object[] {"power loss", seed, powerLosses()});
            rows.add(new Object[] {"resets of some", seed, resets(20, 0.5)});
            rows.add(new Object[] {"resets of most", seed, resets(50, 0.95)});
            rows.add(new Object[] {"crashes on everything", seed, badVersion()});
        }
        return rows.toArray(new Object[0][]);
    }

    /** A part that no request had since the fault is tried by the first one. */
    @Test(dataProvider = "faultsWithoutDeadlyPart")
    public void suspectsNoPartSoonAfterAFaultWithoutDeadlyPart(
            String name, int seed, Consumer<QuarantineSimulation> fault) {
        try (QuarantineSimulation simulation = simulate(seed, 0, List.of(), true, fault)) {
            Map<String, Long> firstRequestsMs = new HashMap<>();
            for (SimulatedCall call : simulation.soundCalls()) {
                if (call.arrivedMs() < FAULT_END_MS + 2 * CONTACT_MS) {
                    continue;
                }
                firstRequestsMs.putIfAbsent(call.secondPart(), call.arrivedMs());
                long sinceFirstMs = call.arrivedMs() - firstRequestsMs.get(call.secondPart());
                assertTrue(!call.isRejected() || sinceFirstMs < CONTACT_MS, call.secondPart());
            }
        }
    }

    private static QuarantineSimulation simulate(
            int seed,
            double share,
            List<String> parts,
            boolean isGuarded,
            Consumer<QuarantineSimulation> faults) {
        QuarantineSimulation simulation = new QuarantineSimulation(seed, isGuarded);
        simulation.startSoundRequests(START_MS, END_MS);
        for (String part : parts) {
            simulation.startDeadlyRequests(part, share, FAULT_START_MS, FAULT_END_MS);
        }
        faults.accept(simulation);
        simulation.runUntil(END_MS);
        return simulation;
    }

    private static Consumer<QuarantineSimulation> crashWaves() {
        return simulation -> {
            for (long atMs = FAULT_START_MS; atMs < FAULT_END_MS; atMs += 2_000) {
                simulation.scheduleAt(
                        atMs,
                        () ->
                                simulation.endpoints().stream()
                                        .filter(endpoint -> simulation.random().nextDouble() < 0.3)
                                        .forEach(endpoint -> endpoint.crash(3_000)));
            }
        };
    }

    private static Consumer<QuarantineSimulation> powerLosses() {
        return simulation -> {
            for (long atMs = FAULT_START_MS; atMs < FAULT_END_MS; atMs += 10_000) {
                simulation.scheduleAt(
                        atMs,
                        () -> simulation.endpoints().forEach(endpoint -> endpoint.crash(3_000)));
            }
        };
    }

    private static Consumer<QuarantineSimulation> resets(int endpoints, double share) {
        return simulation -> {
            List<SimulatedEndpoint> affected = simulation.endpoints().subList(0, endpoints);
            simulation.scheduleAt(
                    FAULT_START_MS, () -> affected.forEach(e -> e.setResetShare(share)));
            simulation.scheduleAt(FAULT_END_MS, () -> affected.forEach(e -> e.setResetShare(0)));
        };
    }

    private static Consumer<QuarantineSimulation> badVersion() {
        return simulation -> {
            simulation.scheduleAt(
                    FAULT_START_MS,
                    () -> simulation.endpoints().forEach(e -> e.setCrashesOnEverything(true)));
            simulation.scheduleAt(
                    FAULT_END_MS,
                    () -> simulation.endpoints().forEach(e -> e.setCrashesOnEverything(false)));
        };
    }

    private static long countLateSends(QuarantineSimulation simulation, String part) {
        List<Long> crashes = simulation.crashesMs(part);
        if (crashes.size() < CRASHES_BEFORE_BOUND) {
            return 0;
        }
        long boundMs = crashes.get(CRASHES_BEFORE_BOUND - 1) + CONTACT_MS;
        return simulation.deadlySendsMs(part).stream().filter(ms -> ms > boundMs).count();
    }

    private static void assertFewLateSends(QuarantineSimulation simulation, String part) {
        assertTrue(
                countLateSends(simulation, part) <= MAX_LATE_SENDS,
                part + " was sent at " + simulation.deadlySendsMs(part));
    }

    private static void assertSoundRequestsAnswered(
            QuarantineSimulation simulation, List<String> parts) {
        long lastBoundingCrashMs = 0;
        for (String part : parts) {
            List<Long> crashes = simulation.crashesMs(part);
            int index = Math.min(CRASHES_BEFORE_BOUND, crashes.size()) - 1;
            lastBoundingCrashMs = Math.max(lastBoundingCrashMs, crashes.get(index));
        }
        long fromMs = lastBoundingCrashMs + 2 * CONTACT_MS;
        simulation.soundCalls().stream()
                .map(call -> call.firstPart())
                .distinct()
                .forEach(first -> assertAnsweredAsBefore(simulation, first, fromMs));
    }

    private static void assertAnsweredAsBefore(
            QuarantineSimulation simulation, String firstPart, long fromMs) {
        List<SimulatedCall> calls =
                simulation.soundCalls().stream()
                        .filter(call -> call.firstPart().equals(firstPart))
                        .toList();
        List<SimulatedCall> before =
                calls.stream().filter(call -> call.arrivedMs() < FAULT_START_MS - 1_000).toList();
        List<SimulatedCall> after =
                calls.stream()
                        .filter(
                                call ->
                                        call.arrivedMs() > fromMs
                                                && call.arrivedMs() < FAULT_END_MS)
                        .toList();
        assertTrue(before.size() >= MIN_CALLS && after.size() >= MIN_CALLS, firstPart);
        assertTrue(
                answeredShare(after) >= answeredShare(before) / 2,
                firstPart + ": " + answeredShare(after) + " of " + answeredShare(before));
    }

    private static double answeredShare(List<SimulatedCall> calls) {
        return (double) calls.stream().filter(call -> call.isAnswered()).count() / calls.size();
    }
}
