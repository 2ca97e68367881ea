package org.cardamomthread.daemon.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link SharedPromptGuard} on several nodes, with crashing endpoints and a bad network. */
public class SharedPromptGuardTests {

    private static final int NODES = 7;
    private static final double SOUND_PER_S = 100;
    private static final long CONTACT_MS = 3_000;
    private static final int DECIDING_CRASHES = 5;
    private static final int MAX_SENT_AFTERWARDS = 3;

    @DataProvider
    public Object[][] networks() {
        List<Object[]> rows = new ArrayList<>();
        for (int seed = 1; seed <= 6; seed++) {
            rows.add(new Object[] {seed, 5, 0.0, 1.0});
            rows.add(new Object[] {seed, 5, 0.0, 20.0});
            rows.add(new Object[] {seed, 200, 0.0, 5.0});
            rows.add(new Object[] {seed, 100, 0.3, 20.0});
        }
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "networks")
    public void keepsDeadlyPartsFromEndpoints(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        fleet.run(5_000, SOUND_PER_S, Map.of());
        fleet.run(60_000, SOUND_PER_S, Map.of("x", deadlyPerS));
        assertDeadlyPartIsKeptAway(fleet, "x");
        assertSoundRequestsGoOn(fleet, "x");
    }

    @Test(dataProvider = "networks")
    public void keepsTwoDeadlyPartsFromEndpoints(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        fleet.run(5_000, SOUND_PER_S, Map.of());
        fleet.run(60_000, SOUND_PER_S, Map.of("x", deadlyPerS, "y", deadlyPerS / 2));
        assertDeadlyPartIsKeptAway(fleet, "x");
        assertDeadlyPartIsKeptAway(fleet, "y");
        assertSoundRequestsGoOn(fleet, "x");
        assertSoundRequestsGoOn(fleet, "y");
    }

    @Test(dataProvider = "networks")
    public void keepsDeadlyPartFromEndpointsWhenNothingWasAnsweredBefore(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        fleet.run(60_000, SOUND_PER_S, Map.of("x", deadlyPerS));
        assertDeadlyPartIsKeptAway(fleet, "x");
        assertSoundRequestsGoOn(fleet, "x");
    }

    @Test(dataProvider = "networks")
    public void keepsDeadlyPartFromEndpointsWhenNodesRestart(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        fleet.run(5_000, SOUND_PER_S, Map.of());
        fleet.run(20_000, SOUND_PER_S, Map.of("x", deadlyPerS));
        for (int node = 0; node < NODES; node++) {
            fleet.restart(node);
            fleet.run(1_000, SOUND_PER_S, Map.of());
            fleet.run(4_000, SOUND_PER_S, Map.of("x", deadlyPerS));
        }
        assertDeadlyPartIsKeptAway(fleet, "x");
        assertSoundRequestsGoOn(fleet, "x");
    }

    @Test(dataProvider = "networks")
    public void servesSoundRequestsAfterCrashOfAllEndpoints(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        for (int i = 0; i < 4; i++) {
            fleet.run(5_000, SOUND_PER_S, Map.of());
            fleet.crashAllEndpoints();
        }
        assertSoundRequestsRecover(fleet);
    }

    @Test(dataProvider = "networks")
    public void servesSoundRequestsAfterCrashesWhenNothingWasAnsweredBefore(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        for (int i = 0; i < 3; i++) {
            fleet.run(1_500, SOUND_PER_S, Map.of());
            fleet.crashAllEndpoints();
        }
        assertSoundRequestsRecover(fleet);
    }

    @Test(dataProvider = "networks")
    public void releasesPartThatIsNoLongerDeadly(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        fleet.run(5_000, SOUND_PER_S, Map.of());
        fleet.run(3_000, SOUND_PER_S, Map.of("x", 5.0));
        fleet.setHarmless("x");
        fleet.run(60_000, SOUND_PER_S, Map.of("x", 5.0));
        long releasedMs = fleet.nowMs();
        fleet.run(20_000, SOUND_PER_S, Map.of("x", 5.0));
        long sent = fleet.countDeadlySent("x", releasedMs);
        assertTrue(sent >= 50, sent + " of about 100 were sent");
    }

    @Test(dataProvider = "networks")
    public void keepsDeadlyPartFromEndpointsOfNodeThatWasCutOff(
            int seed, int maxDelayMs, double lossRate, double deadlyPerS) {
        CrashingFleet fleet = new CrashingFleet(NODES, seed, maxDelayMs, lossRate);
        fleet.run(5_000, SOUND_PER_S, Map.of());
        fleet.setIsolated(0, true);
        fleet.run(40_000, SOUND_PER_S, Map.of("x", deadlyPerS));
        fleet.setIsolated(0, false);
        fleet.run(CONTACT_MS, SOUND_PER_S, Map.of());
        long joinedMs = fleet.nowMs();
        fleet.run(20_000, SOUND_PER_S, Map.of("x", deadlyPerS));
        long sent = fleet.countDeadlySent("x", joinedMs);
        assertTrue(sent <= MAX_SENT_AFTERWARDS, sent + " requests were sent");
    }

    private static void assertDeadlyPartIsKeptAway(CrashingFleet fleet, String part) {
        List<Long> crashesMs = fleet.crashesMs(part);
        if (crashesMs.size() < DECIDING_CRASHES) {
            return;
        }
        long sent = fleet.countDeadlySent(part, crashesMs.get(DECIDING_CRASHES - 1) + CONTACT_MS);
        assertTrue(
                sent <= MAX_SENT_AFTERWARDS,
                sent + " requests were sent after the crashes at " + crashesMs);
    }

    private static void assertSoundRequestsGoOn(CrashingFleet fleet, String part) {
        List<Long> crashesMs = fleet.crashesMs(part);
        long decidedMs =
                crashesMs.get(Math.min(crashesMs.size(), DECIDING_CRASHES) - 1) + 2 * CONTACT_MS;
        double share = fleet.soundShare(decidedMs, fleet.nowMs() - 1_000);
        assertTrue(share >= 0.5, "share " + share + " after the crashes at " + crashesMs);
    }

    private static void assertSoundRequestsRecover(CrashingFleet fleet) {
        fleet.run(2 * CONTACT_MS, SOUND_PER_S, Map.of());
        long decidedMs = fleet.nowMs();
        fleet.run(10_000, SOUND_PER_S, Map.of());
        double share = fleet.soundShare(decidedMs, fleet.nowMs());
        assertTrue(share >= 0.5, "share " + share);

        long recoveredMs = fleet.nowMs();
        fleet.run(10_000, SOUND_PER_S, Map.of());
        assertEquals(fleet.soundShare(recoveredMs, fleet.nowMs() - 1_000), 1.0, 0.0);
    }
}
