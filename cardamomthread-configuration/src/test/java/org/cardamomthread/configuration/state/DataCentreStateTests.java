package org.cardamomthread.configuration.state;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link DataCentreState} merges to the same state in any order. */
public class DataCentreStateTests {

    private static final List<DataCentreState> STATES = states();

    @Test
    public void resultIsIndependentOfOrderAndRepetition() {
        for (DataCentreState a : STATES) {
            assertEquals(a.merge(a), a);
            for (DataCentreState b : STATES) {
                assertEquals(a.merge(b), b.merge(a));
                for (DataCentreState c : STATES) {
                    assertEquals(a.merge(b).merge(c), a.merge(b.merge(c)));
                }
            }
        }
    }

    @DataProvider
    public Object[][] concurrentChanges() {
        return new Object[][] {
            {new DataCentreState(true, 1), new DataCentreState(false, 1), true},
            {new DataCentreState(true, 1), new DataCentreState(false, 2), false},
            {new DataCentreState(true, 2), new DataCentreState(false, 1), true},
        };
    }

    @Test(dataProvider = "concurrentChanges")
    public void higherEpochWinsThenDrained(
            DataCentreState first, DataCentreState second, boolean drained) {
        assertEquals(first.merge(second).drained(), drained);
    }

    private static List<DataCentreState> states() {
        List<DataCentreState> states = new ArrayList<>();
        for (long epoch = 0; epoch < 3; epoch++) {
            states.add(new DataCentreState(false, epoch));
            states.add(new DataCentreState(true, epoch));
        }
        return states;
    }
}
