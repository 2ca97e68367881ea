package org.cardamomthread.policy.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RouteId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RolloutEvidence}. */
public class RolloutEvidenceTests {

    private static final RouteId ROUTE = new RouteId("chat");

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}};
    }

    @Test(dataProvider = "seeds")
    public void mergeIsIndependentOfOrderAndRepetition(long seed) {
        Random random = new Random(seed);
        RolloutPlan plan = RolloutPlan.withDefaultSteps(0, 600_000);
        List<RolloutEvidence> states = new ArrayList<>();
        RolloutEvidence expected = RolloutEvidence.EMPTY;
        for (int node = 0; node < 4; node++) {
            EvidenceRecorder recorder = new EvidenceRecorder(new NodeId("n" + node), plan);
            for (int i = 0; i < 50; i++) {
                CallObservation observation =
                        new CallObservation(random.nextBoolean(), true, false, false);
                recorder.record(ROUTE, VersionRole.NEW, observation, i * 10_000L);
                states.add(recorder.snapshot());
            }
            expected = expected.merge(recorder.snapshot());
        }
        states.add(
                RolloutEvidence.EMPTY.withStop(
                        new StopNotice(new NodeId("n1"), RolloutReason.OPERATOR)));
        states.addAll(List.copyOf(states));
        Collections.shuffle(states, random);
        RolloutEvidence merged = RolloutEvidence.EMPTY;
        for (RolloutEvidence state : states) {
            merged = merged.merge(state);
        }
        assertEquals(merged.counts(), expected.counts());
        assertEquals(merged.total(VersionRole.NEW).calls(), 200);
        assertTrue(merged.stop().isPresent());
    }

    @Test
    public void mergeKeepsSameStopInAnyOrder() {
        StopNotice stop1 = new StopNotice(new NodeId("a"), RolloutReason.OPERATOR);
        StopNotice stop2 = new StopNotice(new NodeId("b"), RolloutReason.MORE_FAILURES);
        assertEquals(
                RolloutEvidence.EMPTY.withStop(stop1).withStop(stop2).stop(),
                RolloutEvidence.EMPTY.withStop(stop2).withStop(stop1).stop());
    }
}
