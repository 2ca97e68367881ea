package org.cardamomthread.replication;

import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.SplittableRandom;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the validation of settings and the duration of the lease that follows from them. */
public class ReplicationSettingsTests {

    private static final List<NodeId> NODES = List.of(new NodeId("node-1"));

    @DataProvider
    public Object[][] timings() {
        return new Object[][] {{30L, 10L}, {150L, 30L}, {300L, 30L}, {1000L, 150L}};
    }

    /** Rounding of clocks to whole milliseconds may shorten one interval and lengthen another. */
    @Test(dataProvider = "timings")
    public void leaseEndsBeforeTheFastestVoterMayVote(long electionTimeoutMs, long heartbeatMs) {
        ReplicationSettings settings =
                ReplicationSettings.withDefaults(NODES)
                        .withElectionTimeoutAndHeartbeat(electionTimeoutMs, heartbeatMs);
        double slowestRate = 1 - settings.maxClockDriftRatio();
        double fastestRate = 1 + settings.maxClockDriftRatio();
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 10_000; i++) {
            double leaderPhase = random.nextDouble();
            double voterPhase = random.nextDouble();
            long leaseEndMs = (long) leaderPhase + settings.leaseMs();
            double leaseEndsAt = (leaseEndMs - leaderPhase) / slowestRate;
            long voterMayVoteMs = (long) voterPhase + electionTimeoutMs;
            double voterMayVoteAt = (voterMayVoteMs - voterPhase) / fastestRate;
            assertTrue(leaseEndsAt <= voterMayVoteAt, leaseEndsAt + " > " + voterMayVoteAt);
        }
    }

    @Test
    public void rejectsAnElectionTimeoutBelowThreeHeartbeats() {
        ReplicationSettings settings = ReplicationSettings.withDefaults(NODES);
        expectThrows(
                IllegalArgumentException.class,
                () -> settings.withElectionTimeoutAndHeartbeat(100, 50));
    }

    @Test
    public void rejectsADuplicateVoterNode() {
        List<NodeId> duplicates = List.of(NODES.get(0), NODES.get(0));
        expectThrows(
                IllegalArgumentException.class, () -> ReplicationSettings.withDefaults(duplicates));
    }
}
