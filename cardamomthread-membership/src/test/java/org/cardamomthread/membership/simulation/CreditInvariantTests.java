package org.cardamomthread.membership.simulation;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that requests in flight never exceed the concurrency limit under random faults. */
public class CreditInvariantTests {

    private static final int DEFAULT_SEEDS = 8;
    private static final long FAULT_PHASE_MS = 40_000;
    private static final long RECOVERY_PHASE_MS = 40_000;

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
    public void inFlightNeverExceedsTheConcurrencyLimit(long seed) {
        CreditSimulation simulation = new CreditSimulation(seed, 2);
        simulation.run(15_000, false);
        simulation.run(FAULT_PHASE_MS, true);
        simulation.run(RECOVERY_PHASE_MS, false);
        for (SimulatedEndpoint endpoint : simulation.endpoints()) {
            boolean startedRecently = endpoint.lastStartMs() > simulation.nowMs() - 15_000;
            assertTrue(
                    startedRecently,
                    "seed "
                            + seed
                            + ": "
                            + endpoint.id()
                            + " received no requests after the faults ended");
        }
    }
}
