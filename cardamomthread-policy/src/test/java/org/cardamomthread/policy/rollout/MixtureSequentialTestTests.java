package org.cardamomthread.policy.rollout;

import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.cardamomthread.policy.rollout.SequentialTest.EventCounts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link MixtureSequentialTest}. */
public class MixtureSequentialTestTests {

    private final SequentialTest test = MixtureSequentialTest.forRollback(0.01);

    @DataProvider
    public Object[][] rates() {
        return new Object[][] {{0.0}, {0.003}, {0.02}, {0.1}};
    }

    @Test(dataProvider = "rates")
    public void boundsFalseAlarmRateUnderRepeatedEvaluation(double rate) {
        Random random = new Random(21);
        int falseAlarms = 0;
        int runs = 2_000;
        for (int run = 0; run < runs; run++) {
            falseAlarms += raisesFalseAlarm(rate, random) ? 1 : 0;
        }
        assertTrue(falseAlarms <= 0.05 * runs, falseAlarms + " false alarms in " + runs + " runs");
    }

    private double evidence(long newCalls, long newEvents, long oldCalls, long oldEvents) {
        EventCounts oldCounts = new EventCounts(oldCalls, oldEvents);
        return test.evidence(new EventCounts(newCalls, newEvents), oldCounts, oldCounts);
    }

    @Test
    public void ignoresFaultThatAffectsBothVersions() {
        EventCounts recent = new EventCounts(40, 16);
        EventCounts sinceStart = new EventCounts(4_000, 20);
        EventCounts newCounts = new EventCounts(10, 4);
        assertTrue(test.evidence(newCounts, recent, sinceStart) < 2);
        assertTrue(test.evidence(newCounts, new EventCounts(40, 0), sinceStart) > 100);
    }

    private boolean raisesFalseAlarm(double rate, Random random) {
        long oldEvents = 0;
        long newEvents = 0;
        for (int calls = 1; calls <= 300; calls++) {
            newEvents += random.nextDouble() < rate ? 1 : 0;
            for (int i = 0; i < 5; i++) {
                oldEvents += random.nextDouble() < rate ? 1 : 0;
            }
            if (evidence(calls, newEvents, calls * 5L, oldEvents) >= 20) {
                return true;
            }
        }
        return false;
    }

    @Test
    public void detectsAlwaysFailingVersionWithinFewCalls() {
        assertTrue(evidence(4, 4, 200, 1) > 10_000);
    }
}
