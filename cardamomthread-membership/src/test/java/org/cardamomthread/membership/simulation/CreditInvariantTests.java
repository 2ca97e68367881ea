package org.cardamomthread.membership.simulation;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that no interleaving of faults puts more on an endpoint than it bears. */
public class CreditInvariantTests {

    private static final int DEFAULT_SEEDS = 8;
    private static final long FAULTS_MS = 40_000;
    private static final long RECOVERY_MS = 40_000;

    @DataProvider
    public Object[][] seeds() {
        int count = Integer.getInteger("membership.seeds", DEFAULT_SEEDS);
        Object[][] rows = new Object[count][];
        for (int i = 0; i < count; i++) {
            rows[i] = new Object[] {(long) i};
        }
        return rows;
    }

    @Test(dataProvider = "seeds")
    public void inFlightNeverExceedsWhatTheEndpointBears(long seed) {
        CreditSimulation simulation = new CreditSimulation(seed, 2);
        simulation.run(15_000, false);
        simulation.run(FAULTS_MS, true);
        simulation.run(RECOVERY_MS, false);
        for (SimulatedEndpoint endpoint : simulation.endpoints()) {
            boolean recent = endpoint.lastStartMs() > simulation.nowMs() - 15_000;
            assertTrue(
                    recent,
                    "seed " + seed + ": " + endpoint.id() + " gets no work after the faults ended");
        }
    }
}
