package org.cardamomthread.policy.placement;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link DataCentreMargin}. */
public class DataCentreMarginTests {

    @DataProvider
    public Object[][] margins() {
        return new Object[][] {
            {OptionalLong.empty(), 2_019, 201.9},
            {OptionalLong.empty(), 0, 100.0},
            {OptionalLong.empty(), 10, 3.0},
            {OptionalLong.of(250), 2_019, 250.0},
            {OptionalLong.of(0), 2_019, 3.0},
        };
    }

    /** Guards against requests that leave their data centre for less than the round trip. */
    @Test(dataProvider = "margins")
    public void derivesMarginFromObjective(
            OptionalLong configuredMs, long objectiveMs, double expectedMs) {
        assertEquals(new DataCentreMargin(configuredMs).marginMs(objectiveMs), expectedMs, 0.001);
    }
}
