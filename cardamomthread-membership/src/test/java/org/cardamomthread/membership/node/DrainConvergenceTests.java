package org.cardamomthread.membership.node;

import static org.cardamomthread.membership.node.GossipCluster.PERTH_A;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that drain records converge whatever two operators do during a cut. */
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
    public void racedDrainAndReturnConvergeAndOutWins(long seed) {
        GossipCluster cluster = new GossipCluster(seed, 2, 0.05);
        cluster.run(8_000);
        Random random = new Random(seed);
        cluster.setCut(true);
        List<DrainRecord> made = new ArrayList<>();
        int changes = 1 + random.nextInt(4);
        for (int i = 0; i < changes; i++) {
            made.add(cluster.node("a0").setDrain(PERTH_A, random.nextBoolean()));
            made.add(cluster.node("b1").setDrain(PERTH_A, random.nextBoolean()));
            cluster.run(500L * random.nextInt(4));
        }
        cluster.setCut(false);
        cluster.run(20_000);
        long highest = made.stream().mapToLong(DrainRecord::epoch).max().orElseThrow();
        boolean out = made.stream().anyMatch(record -> record.epoch() == highest && record.out());
        for (NodeDirectory node : cluster.running().values()) {
            assertEquals(
                    node.drainRecords(),
                    List.of(new DrainRecord(PERTH_A, highest, out)),
                    "seed " + seed);
            assertTrue(node.drainUnconfirmedBy(PERTH_A).isEmpty(), "seed " + seed);
        }
    }
}
