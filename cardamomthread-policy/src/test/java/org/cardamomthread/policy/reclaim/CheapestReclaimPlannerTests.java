package org.cardamomthread.policy.reclaim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CheapestReclaimPlanner}. */
public class CheapestReclaimPlannerTests {

    private final ReclaimPlanner planner = new CheapestReclaimPlanner();

    private static AffectedCall call(
            String id, AffectedCall.Stage stage, boolean idempotent, int prompt, int remaining) {
        return new AffectedCall(new RequestId(id), stage, idempotent, prompt, 100, remaining, 50);
    }

    private static AffectedCall running(boolean idempotent, int prompt, int remaining) {
        return call("r", AffectedCall.Stage.RUNNING, idempotent, prompt, remaining);
    }

    private static MigrationTarget target(
            boolean canResume, boolean canImportKv, double cachedTokens) {
        return new MigrationTarget(
                new EndpointId("t"), canResume, canImportKv, 20_000, 4_000, cachedTokens);
    }

    @DataProvider
    public Object[][] calls() {
        AffectedCall queued = call("q", AffectedCall.Stage.QUEUED, false, 100, 1_000);
        return new Object[][] {
            {queued, target(true, true, 0), ReclaimAction.Type.REQUEUE},
            {running(true, 9_000, 50), target(true, true, 0), ReclaimAction.Type.FINISH},
            {running(false, 9_000, 900), target(true, true, 0), ReclaimAction.Type.AWAIT},
            {running(true, 9_000, 900), target(true, true, 0), ReclaimAction.Type.EXPORT_KV},
            {running(true, 9_000, 900), target(true, true, 9_050), ReclaimAction.Type.RESUME},
            {running(true, 9_000, 900), target(true, false, 0), ReclaimAction.Type.RESUME},
            {running(true, 9_000, 900), target(false, false, 0), ReclaimAction.Type.RERUN},
            {running(true, 9_000, 900), null, ReclaimAction.Type.RERUN},
        };
    }

    @Test(dataProvider = "calls")
    public void selectsCheapestAction(
            AffectedCall call, MigrationTarget target, ReclaimAction.Type expected) {
        List<ReclaimAction> actions =
                planner.plan(List.of(call), any -> Optional.ofNullable(target), 5_000);
        assertEquals(actions.get(0).type(), expected);
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    @Test(dataProvider = "seeds")
    public void plansOneActionPerCallAndFinishesExportsInTime(long seed) {
        Random random = new Random(seed);
        List<AffectedCall> calls = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            AffectedCall.Stage stage = AffectedCall.Stage.values()[random.nextInt(2)];
            calls.add(call("r" + i, stage, random.nextBoolean(), random.nextInt(20_000), 2_000));
        }
        List<ReclaimAction> actions =
                planner.plan(calls, call -> Optional.of(target(true, true, 0)), 3_000);
        assertEquals(
                actions.stream().map(ReclaimAction::request).collect(Collectors.toSet()).size(),
                60);
        double exportsMs =
                actions.stream()
                        .filter(action -> action.type() == ReclaimAction.Type.EXPORT_KV)
                        .mapToDouble(ReclaimAction::interruptionMs)
                        .sum();
        assertTrue(exportsMs > 0 && exportsMs <= 3_000, "exports take " + exportsMs);
    }
}
