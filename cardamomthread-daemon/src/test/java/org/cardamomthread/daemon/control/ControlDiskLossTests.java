package org.cardamomthread.daemon.control;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Loses the disks of as many control nodes at once as a deployment allows. */
public class ControlDiskLossTests {

    private static final int FIRST_VOTERS = 3;

    /** For this long a host counts as lost after its start, where the loss of two is allowed. */
    private static final long CATCH_UP_MS = 6_000;

    private TrafficGroupFixture group;

    @AfterMethod(alwaysRun = true)
    public void stopNodes() throws IOException {
        group.close();
    }

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {
            {1, 3, List.of(0), false},
            {1, 5, List.of(2), true},
            {2, 5, List.of(0, 1), false},
            {2, 5, List.of(0, 1), true},
            {2, 5, List.of(2, 4), true},
            {2, 8, List.of(0, 2), true},
            {2, 8, List.of(3, 4), false},
        };
    }

    /**
     * Guards against an order that only the lost disks held, and against a group without a leader.
     */
    @Test(dataProvider = "losses")
    public void outlivesTheLossOfDisksRightAfterAnAcknowledgement(
            int losses, int nodeCount, List<Integer> lost, boolean areOthersRestarted)
            throws Exception {
        List<NodeId> nodes =
                IntStream.range(0, nodeCount).mapToObj(i -> new NodeId("node-" + i)).toList();
        int voterCount = VoterCounts.forLosses(losses);
        group = new TrafficGroupFixture(voterCount, nodes.subList(0, FIRST_VOTERS));
        for (NodeId node : nodes) {
            group.start(node);
        }
        awaitVoters(voterCount);
        group.drain("acknowledged");
        List<NodeId> stopped = new ArrayList<>();
        for (int i = 0; i < nodeCount; i++) {
            if (lost.contains(i) || areOthersRestarted) {
                stopped.add(nodes.get(i));
                group.remove(nodes.get(i));
            }
        }
        for (int i : lost) {
            group.deleteFolder(nodes.get(i));
        }
        for (NodeId node : stopped) {
            group.start(node);
        }
        awaitVoters(voterCount);
        group.drain("later");
        assertEquals(group.drainedDataCentres(), List.of("acknowledged", "later"));
    }

    private void awaitVoters(int count) throws InterruptedException {
        group.await(
                () -> group.voters().size() == count && group.hasAllVoterFolders(),
                CATCH_UP_MS,
                count + " nodes vote with their present folders");
    }
}
