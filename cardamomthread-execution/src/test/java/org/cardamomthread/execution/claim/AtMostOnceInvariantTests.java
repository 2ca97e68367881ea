package org.cardamomthread.execution.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.cardamomthread.execution.ExecutionStatus;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that, in random interleavings, no key is executed twice and every reply to a caller is
 * correct.
 */
public class AtMostOnceInvariantTests {

    private static final int DEFAULT_SEEDS = 300;

    @DataProvider
    public Object[][] seeds() {
        int count = Integer.getInteger("execution.seeds", DEFAULT_SEEDS);
        Object[][] rows = new Object[count][];
        for (int i = 0; i < count; i++) {
            rows[i] = new Object[] {(long) i};
        }
        return rows;
    }

    @Test(dataProvider = "seeds")
    public void keyIsExecutedAtMostOnceAndRepliesAreCorrect(long seed) {
        AtMostOnceSimulation simulation = new AtMostOnceSimulation(seed);
        simulation.run();
        simulation
                .runsByKey()
                .forEach((key, runs) -> assertEquals((int) runs, 1, key + " of seed " + seed));
        Map<String, String> bodies = new HashMap<>();
        for (AtMostOnceSimulation.Reply reply : simulation.replies()) {
            String description = "seed " + seed + ": " + reply;
            if (reply.execution() == ExecutionStatus.NOT_RUN) {
                assertFalse(simulation.attemptsRun().contains(reply.attemptId()), description);
            }
            if (reply.execution() == ExecutionStatus.COMPLETED) {
                assertTrue(simulation.runsByKey().containsKey(reply.key()), description);
                assertTrue(reply.body().endsWith(reply.sent()), description);
                String earlierBody = bodies.putIfAbsent(reply.key(), reply.body());
                assertTrue(earlierBody == null || earlierBody.equals(reply.body()), description);
            }
        }
    }
}
