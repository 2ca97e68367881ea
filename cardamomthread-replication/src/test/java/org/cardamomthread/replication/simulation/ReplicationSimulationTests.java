package org.cardamomthread.replication.simulation;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the invariants under random faults from fixed seeds. {@code -Dreplication.seeds=10000} sets
 * the number of seeds, {@code -Dreplication.firstSeed=17} sets the first seed.
 */
public class ReplicationSimulationTests {

    private static final int DEFAULT_SEED_COUNT = 60;
    private static final int SEEDS_PER_ROW = 20;
    private static final long[] REGRESSION_SEEDS = {879};
    private static final int FAULT_STEPS = 1500;
    private static final int RECOVERY_STEPS = 4000;

    private SimulationCounts totalCounts = new SimulationCounts(0, 0, 0, 0);
    private int seedsRun;
    private SimulationCounts largerGroupCounts = new SimulationCounts(0, 0, 0, 0);
    private int largerGroupSeedsRun;

    @DataProvider
    public Object[][] seeds() {
        long first = Long.getLong("replication.firstSeed", 1);
        long end = first + Integer.getInteger("replication.seeds", DEFAULT_SEED_COUNT);
        List<Object[]> rows = new ArrayList<>();
        for (long seed = first; seed < end; seed += SEEDS_PER_ROW) {
            rows.add(new Object[] {seed, Math.min(end, seed + SEEDS_PER_ROW)});
        }
        for (long seed : REGRESSION_SEEDS) {
            rows.add(new Object[] {seed, seed + 1});
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void keepsInvariantsUnderRandomFaults(long firstSeed, long endSeed) {
        for (long seed = firstSeed; seed < endSeed; seed++) {
            totalCounts = totalCounts.plus(run(seed, new SimulatedCluster(seed)));
            seedsRun++;
        }
    }

    @Test(dataProvider = "seeds")
    public void keepsInvariantsWhileVotersAreReplaced(long firstSeed, long endSeed) {
        for (long seed = firstSeed; seed < endSeed; seed++) {
            run(seed, SimulatedCluster.withReplacement(seed));
        }
    }

    /** Five voters of eight nodes, of which any two lose their folders at the same moment. */
    @Test(dataProvider = "seeds")
    public void keepsInvariantsWhileTwoFoldersAtOnceAreLost(long firstSeed, long endSeed) {
        for (long seed = firstSeed; seed < endSeed; seed++) {
            SimulatedCluster cluster = SimulatedCluster.withVoterCount(seed, 5, 5);
            largerGroupCounts = largerGroupCounts.plus(run(seed, cluster));
            largerGroupSeedsRun++;
        }
    }

    @DataProvider
    public Object[][] seedsOfLossesDuringReplacement() {
        return new Object[][] {{1700L}, {1947L}, {3027L}, {3613L}};
    }

    /** A voter that is cut off is removed for its successor as two other folders are lost. */
    @Test(dataProvider = "seedsOfLossesDuringReplacement")
    public void recoversFromTwoLostFoldersWhileAVoterIsReplaced(long seed) {
        run(seed, SimulatedCluster.withVoterCount(seed, 5, 5));
    }

    @Test(dependsOnMethods = "keepsInvariantsWhileTwoFoldersAtOnceAreLost")
    public void losesFoldersOfLargerGroups() {
        assertTrue(
                largerGroupCounts.acknowledged() > 20 * largerGroupSeedsRun,
                largerGroupCounts.toString());
        assertTrue(
                largerGroupCounts.lostFolders() > largerGroupSeedsRun,
                largerGroupCounts.toString());
    }

    @Test(dependsOnMethods = "keepsInvariantsUnderRandomFaults")
    public void coversEachKindOfFault() {
        assertTrue(totalCounts.acknowledged() > 20 * seedsRun, totalCounts.toString());
        assertTrue(totalCounts.leaders() > 2 * seedsRun, totalCounts.toString());
        assertTrue(totalCounts.crashes() > 3 * seedsRun, totalCounts.toString());
        assertTrue(totalCounts.lostFolders() > seedsRun / 5, totalCounts.toString());
    }

    private static SimulationCounts run(long seed, SimulatedCluster cluster) {
        try {
            cluster.run(300);
            for (int i = 0; i < FAULT_STEPS; i++) {
                cluster.stepWithFaults();
            }
            cluster.removeAllFaults();
            cluster.runUntilRecovered(RECOVERY_STEPS);
            return cluster.counts();
        } catch (AssertionError | RuntimeException e) {
            throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
    }
}
