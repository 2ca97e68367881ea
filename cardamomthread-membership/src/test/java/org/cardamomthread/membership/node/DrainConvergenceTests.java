package org.cardamomthread.membership.node;

import static org.cardamomthread.membership.node.GossipCluster.PERTH_A;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that drain records converge after concurrent changes on both sides of a partition. */
public class DrainConvergenceTests {

    private static final int DEFAULT_SEEDS = 20;

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
    public void concurrentDrainChangesConvergeAndDrainedWins(long seed) {
        GossipCluster cluster = new GossipCluster(seed, 2, 0.05);
        cluster.run(8_000);
        Random random = new Random(seed);
        cluster.setPartitioned(true);
        List<DrainRecord> records = new ArrayList<>();
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            records.add(cluster.node("a0").setDrained(PERTH_A, random.nextBoolean()));
            records.add(cluster.node("b1").setDrained(PERTH_A, random.nextBoolean()));
            cluster.run(500L * random.nextInt(4));
        }
        cluster.setPartitioned(false);
        cluster.run(20_000);
        long highestEpoch = records.stream().mapToLong(DrainRecord::epoch).max().orElseThrow();
        boolean drained =
                records.stream()
                        .anyMatch(record -> record.epoch() == highestEpoch && record.drained());
        for (NodeDirectory node : cluster.runningNodes().values()) {
            assertEquals(
                    node.drainRecords(),
                    List.of(new DrainRecord(PERTH_A, highestEpoch, drained)),
                    "seed " + seed);
            assertTrue(node.drainUnconfirmedBy(PERTH_A).isEmpty(), "seed " + seed);
        }
    }
}
