package org.cardamomthread.policy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.admission.WaitingRoomSimulation.Kind;
import org.cardamomthread.policy.admission.WaitingRoomSimulation.Outcome;
import org.cardamomthread.policy.profile.Priority;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers get from a {@link WaitingRoom} under load. */
public class WaitingRoomTests {

    private static final int SLOTS = 4;
    private static final int PLACES = 256;
    private static final long SERVICE_MS = 200;

    /** Requests per second that the slots serve. */
    private static final double CAPACITY_PER_S = 20;

    private static Kind kind(String name, int level, double perS, long timeLimitMs) {
        return new Kind(name, level, perS, SERVICE_MS, 1, 500, timeLimitMs);
    }

    private static WaitingRoomSimulation simulate(long seed) {
        return new WaitingRoomSimulation(PLACES, seed, nowMs -> SLOTS);
    }

    private static double servedShare(List<Outcome> outcomes, Predicate<Outcome> filter) {
        long served = outcomes.stream().filter(filter).filter(Outcome::isServed).count();
        return (double) served / outcomes.stream().filter(filter).count();
    }

    private static Predicate<Outcome> of(Kind kind) {
        return outcome -> outcome.kind() == kind;
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    /** Guards against idle slots, late starts and requests held in vain in a burst. */
    @Test(dataProvider = "seeds")
    public void servesCapacityInTimeDuringBurstOfThreeTimesTheCapacity(long seed) {
        WaitingRoomSimulation simulation = simulate(seed);
        Kind calm = kind("a", 0, CAPACITY_PER_S / 2, 2_000);
        Kind burst = kind("a", 0, CAPACITY_PER_S * 3, 2_000);
        simulation.play(0, 5_000, List.of(calm));
        simulation.play(5_000, 15_000, List.of(burst));
        List<Outcome> outcomes = simulation.play(15_000, 20_000, List.of(calm));
        assertTrue(servedShare(outcomes, of(burst)) > 0.32, "" + servedShare(outcomes, of(burst)));
        assertTrue(
                outcomes.stream().allMatch(outcome -> outcome.waitedMs() <= 1_800), "late start");
        long heldInVain =
                outcomes.stream()
                        .filter(outcome -> outcome.refusedMs() > outcome.receivedMs())
                        .count();
        assertTrue(heldInVain < outcomes.size() / 50, "held in vain: " + heldInVain);
        assertTrue(
                servedShare(outcomes, outcome -> outcome.receivedMs() >= 17_000) == 1,
                "refused after the burst");
        assertEquals(simulation.waitingCount(), 0);
    }

    /** Guards against one account that crowds out the usual load of the others. */
    @Test(dataProvider = "seeds")
    public void servesOtherAccountsWhileOneSendsTenTimesItsUsualLoad(long seed) {
        Kind heavy = kind("heavy", 0, 50, 2_000);
        List<Kind> kinds = List.of(heavy, kind("b", 0, 5, 2_000), kind("c", 0, 5, 2_000));
        List<Outcome> outcomes = simulate(seed).play(0, 20_000, kinds);
        for (Kind kind : kinds.subList(1, 3)) {
            assertTrue(servedShare(outcomes, of(kind)) > 0.97, kind.name());
        }
        assertTrue(servedShare(outcomes, of(heavy)) > 0.17, "" + servedShare(outcomes, of(heavy)));
    }

    @DataProvider
    public Object[][] loadsOfTwoLevels() {
        return new Object[][] {
            {"more urgent load above the capacity", 40.0, 10_000L, 5.0, 3_000L},
            {"the same with a shorter limit than the other", 40.0, 3_000L, 5.0, 10_000L},
            {"equal loads", 20.0, 3_000L, 20.0, 3_000L},
            {"more of the less urgent", 10.0, 3_000L, 40.0, 3_000L},
            {"three times the capacity of each", 60.0, 10_000L, 60.0, 3_000L},
        };
    }

    /** Guards against starvation of the less urgent kind, and against its preference. */
    @Test(dataProvider = "loadsOfTwoLevels")
    public void keepsShareForLessUrgentKindUnderPermanentPressure(
            String name,
            double urgentPerS,
            long urgentLimitMs,
            double otherPerS,
            long otherLimitMs) {
        Kind urgent = kind("a", 0, urgentPerS, urgentLimitMs);
        Kind other = kind("b", 5, otherPerS, otherLimitMs);
        List<Outcome> outcomes = simulate(1).play(0, 60_000, List.of(urgent, other));
        Predicate<Outcome> settled =
                outcome -> outcome.receivedMs() > 15_000 && outcome.receivedMs() < 45_000;
        double urgentShare = servedShare(outcomes, of(urgent).and(settled));
        double otherShare = servedShare(outcomes, of(other).and(settled));
        String shares = name + ": " + urgentShare + " and " + otherShare;
        assertTrue(otherShare > 0.1 * urgentShare, shares);
        assertTrue(urgentShare > otherShare - 0.03, shares);
    }

    /** Guards against a less urgent request that waits although nothing is refused. */
    @Test
    public void servesAgedRequestBeforeYoungerMoreUrgentOnesInTurn() {
        WaitingRoom room = new WaitingRoom(new WaitingBudget(16, 8_000), new SplittableRandom(1));
        room.offer(request("old1", "a", 5, 100), 0);
        room.offer(request("old2", "a", 5, 100), 0);
        for (int i = 0; i < 2; i++) {
            WaitingRequest young = request("young" + i, "b", 0, 100);
            room.offer(
                    new WaitingRequest(young.entry(), young.level(), 400, 1_000, 10_000, 100), 400);
        }
        List<String> order = new ArrayList<>();
        for (long nowMs : new long[] {450, 500, 500, 500}) {
            order.add(room.poll(nowMs).orElseThrow().entry().id().value());
        }
        assertEquals(order, List.of("young0", "old1", "young1", "old2"));
    }

    /** Guards against requests held until their time limit while nothing leaves at all. */
    @Test
    public void refusesMostOfAQueueFromWhichNothingLeaves() {
        WaitingRoom room =
                new WaitingRoom(new WaitingBudget(256, 4 << 20), new SplittableRandom(1));
        for (int i = 0; i < 40; i++) {
            QueuedRequest entry =
                    new QueuedRequest(
                            new RequestId("stuck" + i),
                            new ClientAccountId("a"),
                            Priority.URGENT,
                            1,
                            2_500);
            room.offer(new WaitingRequest(entry, 0, 0, 500, 2_500, 100), 0);
        }
        room.recheck(500);
        assertTrue(room.size() > 0 && room.size() <= 10, "still waiting: " + room.size());
    }

    /** Guards against long requests that never get their turn among many short ones. */
    @Test(dataProvider = "seeds")
    public void servesLongRequestsAmongShortOnes(long seed) {
        Kind shortKind = new Kind("short", 0, 40, 100, 1, 500, 3_000);
        Kind longKind = new Kind("long", 0, 4, 800, 8, 2_000, 6_000);
        Kind longOfSameAccount = new Kind("short", 0, 4, 800, 8, 2_000, 6_000);
        List<Outcome> outcomes =
                simulate(seed).play(0, 40_000, List.of(shortKind, longKind, longOfSameAccount));
        for (Kind kind : List.of(shortKind, longKind, longOfSameAccount)) {
            assertTrue(
                    servedShare(outcomes, of(kind)) > 0.22,
                    kind + ": " + servedShare(outcomes, of(kind)));
        }
    }

    /** Guards against a rate that is not measured anew when the endpoints become fewer or more. */
    @Test
    public void followsDrainRateThatChanges() {
        WaitingRoomSimulation simulation =
                new WaitingRoomSimulation(
                        PLACES, 1, nowMs -> nowMs < 10_000 ? 8 : nowMs < 20_000 ? 1 : 8);
        Kind load = kind("a", 0, 60, 3_000);
        List<Outcome> outcomes = simulation.play(0, 30_000, List.of(load));
        assertTrue(
                outcomes.stream().allMatch(outcome -> outcome.waitedMs() <= 2_800), "late start");
        List<Outcome> slow =
                outcomes.stream()
                        .filter(outcome -> outcome.receivedMs() >= 13_000)
                        .filter(outcome -> outcome.receivedMs() < 19_000)
                        .toList();
        long inVain =
                slow.stream()
                        .filter(outcome -> outcome.refusedMs() > outcome.receivedMs() + 100)
                        .count();
        assertTrue(inVain * 10 < slow.size(), inVain + " of " + slow.size() + " held in vain");
        double fast =
                servedShare(
                        outcomes,
                        outcome -> outcome.receivedMs() >= 23_000 && outcome.receivedMs() < 27_000);
        assertTrue(fast > 0.6, "served after the return: " + fast);
    }

    /** Guards against callers that come back at the same moment, or before there is capacity. */
    @Test(dataProvider = "seeds")
    public void spreadsRetryAfterAboveExpectedWait(long seed) {
        WaitingRoomSimulation simulation = simulate(seed);
        Kind load = kind("a", 0, CAPACITY_PER_S * 3, 3_000);
        List<Outcome> outcomes = simulation.play(0, 20_000, List.of(load));
        List<Long> delaysMs =
                outcomes.stream()
                        .filter(outcome -> outcome.receivedMs() > 10_000 && !outcome.isServed())
                        .filter(outcome -> outcome.refusedMs() >= 0)
                        .map(outcome -> outcome.retryAfterMs())
                        .toList();
        assertTrue(delaysMs.stream().distinct().count() > 100, "no spread");
        for (long delayMs : delaysMs) {
            assertTrue(delayMs >= 2_000 && delayMs <= 7_000, "Retry-After " + delayMs);
        }
    }

    /**
     * Guards against callers that shorten the wait of others by a short time limit of their own.
     */
    @Test
    public void admitsOthersBesideRequestWithLittleTimeLeft() {
        WaitingRoom room = new WaitingRoom(new WaitingBudget(64, 80_000), new SplittableRandom(1));
        room.recordStart();
        room.recordStart();
        room.recordEnd(1_000, true);
        room.offer(request("first", "a", 0, 100), 0);
        QueuedRequest entry =
                new QueuedRequest(
                        new RequestId("late"), new ClientAccountId("a"), Priority.URGENT, 1, 500);
        AdmissionRefusal late =
                room.offer(new WaitingRequest(entry, 0, 0, 1_000, 10_000, 100), 0).get(0);
        assertEquals(late.reason(), AdmissionRefusal.Reason.TOO_LATE);
        assertEquals(room.offer(request("next", "a", 0, 100), 0), List.of());
    }

    private static WaitingRequest request(String id, String account, int level, long bytes) {
        QueuedRequest entry =
                new QueuedRequest(
                        new RequestId(id),
                        new ClientAccountId(account),
                        Priority.URGENT,
                        1,
                        10_000);
        return new WaitingRequest(entry, level, 0, 1_000, 10_000, bytes);
    }

    /** Guards against a queue without bound, and a full one that is closed to everybody else. */
    @Test
    public void boundsNumberAndBytesAndLetsOthersIn() {
        WaitingRoom room = new WaitingRoom(new WaitingBudget(16, 8_000), new SplittableRandom(1));
        assertEquals(
                room.offer(request("large", "a", 5, 9_000), 0).get(0).reason(),
                AdmissionRefusal.Reason.QUEUE_FULL);
        for (int i = 0; i < 16; i++) {
            assertEquals(room.offer(request("a" + i, "a", 5, 100), 0), List.of());
        }
        AdmissionRefusal full = room.offer(request("a16", "a", 5, 100), 0).get(0);
        assertEquals(full.reason(), AdmissionRefusal.Reason.QUEUE_FULL);
        assertTrue(full.retryAfterMs() >= 300, "" + full.retryAfterMs());
        for (int level : new int[] {5, 0, 9}) {
            AdmissionRefusal displaced =
                    room.offer(request("b" + level, "b", level, 100), 0).get(0);
            assertEquals(displaced.reason(), AdmissionRefusal.Reason.DISPLACED);
            assertEquals(displaced.request().account().value(), "a");
        }
        assertEquals(room.size(), 16);
        assertEquals(room.offer(request("b", "b", 5, 7_900), 0).get(0).request().id().value(), "b");
        assertEquals(room.size(), 16);
    }

    @Test
    public void forgetsRequestsThatLeave() {
        WaitingRoom room = new WaitingRoom(new WaitingBudget(2, 8_000), new SplittableRandom(1));
        WaitingRequest first = request("1", "a", 0, 100);
        room.offer(first, 0);
        assertTrue(room.remove(first, 1));
        assertFalse(room.remove(first, 1));
        assertTrue(room.poll(1).isEmpty());
        room.offer(first, 2);
        assertEquals(room.recheck(10_000).get(0).reason(), AdmissionRefusal.Reason.TOO_LATE);
        assertEquals(room.size(), 0);
    }
}
