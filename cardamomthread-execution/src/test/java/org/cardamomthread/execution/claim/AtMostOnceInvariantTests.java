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
        for (AtMostOnceSimulation.Reply answer : simulation.answers()) {
            String description = "seed " + seed + ": " + answer;
            if (answer.execution() == ExecutionStatus.NOT_RUN) {
                assertFalse(simulation.attemptsRun().contains(answer.attemptId()), description);
            }
            if (answer.execution() == ExecutionStatus.COMPLETED) {
                assertTrue(simulation.runsByKey().containsKey(answer.key()), description);
                assertTrue(answer.body().endsWith(answer.sent()), description);
                String earlierBody = bodies.putIfAbsent(answer.key(), answer.body());
                assertTrue(earlierBody == null || earlierBody.equals(answer.body()), description);
            }
        }
    }
}
