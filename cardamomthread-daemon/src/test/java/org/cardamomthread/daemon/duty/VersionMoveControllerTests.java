package org.cardamomthread.daemon.duty;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.daemon.view.generated.VersionCounts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the decisions of {@link VersionMoveController} on a move of 15 seconds. */
public class VersionMoveControllerTests {

    private static final long STARTED_MS = 1_000_000;
    private static final long DURATION_MS = 15_000;

    @DataProvider
    public Object[][] moves() {
        return new Object[][] {
            {"early, good", MoveStage.RUNNING, 5_000, 40, 0, null},
            {"early, slow", MoveStage.RUNNING, 5_000, 20, 12, MoveStage.TAKEN_BACK},
            {"canary phase over, good", MoveStage.RUNNING, 9_500, 40, 0, MoveStage.PROMOTED},
            {"canary phase over, too little known", MoveStage.RUNNING, 9_500, 4, 0, null},
            {"too late, too little known", MoveStage.RUNNING, 12_500, 4, 0, MoveStage.TAKEN_BACK},
            {"too late, nothing known", MoveStage.RUNNING, 12_500, 0, 0, MoveStage.TAKEN_BACK},
            {"too late, good", MoveStage.RUNNING, 16_000, 40, 0, MoveStage.TAKEN_BACK},
            {"canary phase over, suspected", MoveStage.RUNNING, 9_500, 20, 6, null},
            {"too late, suspected", MoveStage.RUNNING, 12_500, 20, 6, MoveStage.TAKEN_BACK},
            {"promoted, good", MoveStage.PROMOTED, 12_500, 40, 0, null},
            {"promoted, turns slow", MoveStage.PROMOTED, 12_500, 40, 20, MoveStage.TAKEN_BACK},
            {"promoted, good at the end", MoveStage.PROMOTED, 13_600, 40, 0, MoveStage.DONE},
        };
    }

    @Test(dataProvider = "moves")
    public void neverKeepsAVersionOnTooLittleEvidence(
            String name,
            MoveStage stage,
            long elapsedMs,
            long canaryTimed,
            long canarySlow,
            MoveStage expected) {
        VersionMoveState move =
                VersionMoveState.newBuilder()
                        .setService("chat")
                        .setTarget("v2")
                        .setStage(stage)
                        .setStartedAtMs(STARTED_MS)
                        .setDurationMs(DURATION_MS)
                        .build();
        CanaryEvidence evidence = new CanaryEvidence();
        evidence.update(counts(0, 0), counts(0, 0));
        evidence.update(counts(canaryTimed, canarySlow), counts(200, 4));
        Optional<VersionMoveController.Decision> decision =
                VersionMoveController.decide(move, evidence, STARTED_MS + elapsedMs);
        assertEquals(decision.map(VersionMoveController.Decision::stage).orElse(null), expected);
    }

    private static VersionCounts counts(long timed, long slow) {
        return VersionCounts.newBuilder().setAnswers(timed).setTimed(timed).setSlow(slow).build();
    }
}
