package org.cardamomthread.experiments.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cardamomthread.experiments.replay.ReplayResult.Measure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Replay} on the first minutes of the workloads. */
public class ReplayTests {

    private static final long SHORTENED_DURATION_MS = 90_000;

    private static Workload shortened(Workload workload) {
        List<Call> calls =
                workload.calls().stream()
                        .filter(call -> call.arrivalMs() < SHORTENED_DURATION_MS)
                        .toList();
        return new Workload(
                workload.name(),
                calls,
                workload.fleet(),
                SHORTENED_DURATION_MS,
                workload.clientDelayMs());
    }

    @DataProvider
    public Object[][] strategies() {
        Object[][] rows = new Object[Strategies.all().size()][];
        for (int i = 0; i < rows.length; i++) {
            rows[i] = new Object[] {i, Strategies.all().get(i).name()};
        }
        return rows;
    }

    @Test(dataProvider = "strategies")
    public void producesSameMeasuresForSameSeed(int number, String name) {
        ReplayResult first = run(number);
        ReplayResult second = run(number);
        for (Measure measure : Measure.values()) {
            assertEquals(first.measure(measure), second.measure(measure), 0, name + " " + measure);
        }
        assertTrue(first.measure(Measure.CALLS) > 100);
        assertTrue(first.measure(Measure.ANSWERED_SHARE) > 0.9);
    }

    private static ReplayResult run(int number) {
        Workload workload = shortened(ColdwaterWorkload.generate(3));
        return new Replay(workload, Strategies.all().get(number), 3).run();
    }

    @Test
    public void neverOverloadsNewlyStartedEndpoint() {
        Strategy decisions = Strategies.all().get(0);
        ReplayResult result = new Replay(shortened(SerraWorkload.generate(2)), decisions, 2).run();
        assertEquals(result.measure(Measure.LARGEST_EXCESS), 0, 0);
        assertEquals(result.measure(Measure.COLLAPSES), 0, 0);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {VersionMoveFault.NONE, true},
            {VersionMoveFault.SLOW_START, true},
            {VersionMoveFault.FAILS, false}
        };
    }

    @Test(dataProvider = "faults")
    public void completesMoveOnlyWithoutFault(VersionMoveFault fault, boolean completed) {
        assertEquals(VersionMoveReplay.serra().run(fault, 5).completed(), completed);
    }
}
