package org.cardamomthread.experiments.replay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.cardamomthread.experiments.replay.ReplayResult.Measure;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link Replay} on the first minutes of the workloads. */
public class ReplayTests {

    private static final long SHORT_MS = 90_000;

    private static Workload shortened(Workload workload) {
        List<Call> calls =
                workload.calls().stream().filter(call -> call.arrivalMs() < SHORT_MS).toList();
        return new Workload(
                workload.name(), calls, workload.fleet(), SHORT_MS, workload.clientDelayMs());
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
    public void givesTheSameMeasuresForTheSameSeed(int number, String name) {
        ReplayResult one = run(number);
        ReplayResult other = run(number);
        for (Measure measure : Measure.values()) {
            assertEquals(one.measure(measure), other.measure(measure), 0, name + " " + measure);
        }
        assertTrue(one.measure(Measure.CALLS) > 100);
        assertTrue(one.measure(Measure.ANSWERED_SHARE) > 0.9);
    }

    private static ReplayResult run(int number) {
        Workload workload = shortened(ColdwaterWorkload.generate(3));
        return new Replay(workload, Strategies.all().get(number), 3).run();
    }

    @Test
    public void neverExceedsWhatAFreshEndpointBears() {
        Strategy decisions = Strategies.all().get(0);
        ReplayResult result = new Replay(shortened(SerraWorkload.generate(2)), decisions, 2).run();
        assertEquals(result.measure(Measure.LARGEST_EXCESS), 0, 0);
        assertEquals(result.measure(Measure.COLLAPSES), 0, 0);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {MoveFault.NONE, true}, {MoveFault.SLOW_START, true}, {MoveFault.FAILS, false}
        };
    }

    @Test(dataProvider = "faults")
    public void endsMovesAsTheFaultDemands(MoveFault fault, boolean done) {
        assertEquals(MoveReplay.serra().run(fault, 5).done(), done);
    }
}
