package org.cardamomthread.daemon.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.cardamomthread.daemon.view.generated.VersionCounts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CanaryEvaluator} and {@link CanaryEvidence}. */
public class CanaryEvaluatorTests {

    @DataProvider
    public Object[][] comparisons() {
        return new Object[][] {
            {"no results yet", counts(0, 0, 0, 0), counts(0, 0, 0, 0), false},
            {"equally good", counts(60, 1, 60, 1), counts(600, 8, 600, 8), false},
            {
                "fails as often as the former version",
                counts(60, 9, 51, 0),
                counts(600, 84, 516, 0),
                false
            },
            {"half of the requests fail", counts(20, 10, 10, 0), counts(600, 8, 592, 0), true},
            {
                "four in ten fail, one in seven of the former version",
                counts(40, 16, 24, 0),
                counts(600, 84, 516, 0),
                true
            },
            {"all responses slow", counts(20, 0, 20, 20), counts(600, 8, 592, 8), true},
            {"half of the responses slow", counts(20, 0, 20, 10), counts(600, 8, 592, 8), true},
            {
                "as many slow responses as the former version",
                counts(20, 0, 20, 3),
                counts(600, 8, 592, 80),
                false
            },
            {"slow, but too few results", counts(4, 0, 4, 4), counts(600, 8, 592, 8), false},
            {"slow without any response", counts(0, 0, 12, 12), counts(600, 8, 592, 8), true},
        };
    }

    @Test(dataProvider = "comparisons")
    public void detectsRegressions(
            String name, VersionCounts canary, VersionCounts former, boolean expected) {
        CanaryEvidence evidence = new CanaryEvidence();
        evidence.update(counts(0, 0, 0, 0), counts(0, 0, 0, 0));
        evidence.update(canary, former);
        assertEquals(evidence.findRegression().isPresent(), expected, name);
    }

    @Test
    public void detectsAVersionThatTurnsSlowAfterManyGoodResponses() {
        CanaryEvidence evidence = new CanaryEvidence();
        evidence.update(counts(0, 0, 0, 0), counts(0, 0, 0, 0));
        evidence.update(counts(60, 0, 60, 1), counts(600, 0, 600, 12));
        assertTrue(evidence.findRegression().isEmpty());
        evidence.update(counts(70, 0, 70, 9), counts(700, 0, 700, 14));
        assertTrue(evidence.findRegression().isPresent());
    }

    @Test
    public void comparesOnlyTheResultsOfTheMove() {
        CanaryEvidence evidence = new CanaryEvidence();
        evidence.update(counts(900, 450, 450, 450), counts(900, 0, 900, 9));
        evidence.update(counts(920, 450, 470, 450), counts(999, 0, 999, 9));
        assertTrue(evidence.findRegression().isEmpty());
    }

    @Test
    public void rarelyFlagsGoodVersion() {
        Random random = new Random(7);
        int falseAlarms = 0;
        for (int move = 0; move < 1_000; move++) {
            long canaryFailures = 0;
            long formerFailures = 0;
            boolean isFlagged = false;
            CanaryEvidence evidence = new CanaryEvidence();
            evidence.update(counts(0, 0, 0, 0), counts(0, 0, 0, 0));
            for (int responses = 1; responses <= 40; responses++) {
                canaryFailures += random.nextInt(100) < 14 ? 1 : 0;
                for (int i = 0; i < 12; i++) {
                    formerFailures += random.nextInt(100) < 14 ? 1 : 0;
                }
                evidence.update(
                        counts(responses, canaryFailures, responses, canaryFailures),
                        counts(12L * responses, formerFailures, 12L * responses, formerFailures));
                isFlagged |= evidence.findRegression().isPresent();
            }
            falseAlarms += isFlagged ? 1 : 0;
        }
        assertTrue(falseAlarms <= 10, falseAlarms + " of 1,000 good versions were flagged as bad");
    }

    private static VersionCounts counts(long responses, long failures, long timed, long slow) {
        return VersionCounts.newBuilder()
                .setAnswers(responses)
                .setFailures(failures)
                .setTimed(timed)
                .setSlow(slow)
                .build();
    }
}
