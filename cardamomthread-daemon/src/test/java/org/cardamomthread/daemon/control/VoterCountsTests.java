package org.cardamomthread.daemon.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link VoterCounts}. */
public class VoterCountsTests {

    @DataProvider
    public Object[][] losses() {
        return new Object[][] {{0, 3}, {1, 3}, {2, 5}, {3, 7}, {4, 7}, {Integer.MAX_VALUE, 7}};
    }

    @Test(dataProvider = "losses")
    public void majorityRemainsAfterTheLosses(int losses, int expectedVoters) {
        assertEquals(VoterCounts.forLosses(losses), expectedVoters);
    }

    @Test
    public void rejectsNegativeLosses() {
        IllegalArgumentException failure =
                expectThrows(IllegalArgumentException.class, () -> VoterCounts.forLosses(-1));
        assertEquals(failure.getMessage(), "losses -1 must not be negative");
    }
}
