package org.cardamomthread.daemon.duty;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.cardamomthread.daemon.view.generated.VersionCounts;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CanaryEvaluator}. */
public class CanaryEvaluatorTests {

    @DataProvider
    public Object[][] comparisons() {
        return new Object[][] {
            {"nothing seen yet", 0, 0, 0, 0, 0, 0, false},
            {"as good", 60, 1, 6_000, 600, 8, 60_000, false},
            {"fails as often as the former", 60, 9, 6_000, 600, 84, 60_000, false},
            {"fails half of its calls", 20, 10, 2_000, 600, 8, 60_000, true},
            {"fails four in ten beside one in seven", 40, 16, 4_000, 600, 84, 60_000, true},
            {"several times slower", 20, 0, 10_000, 600, 8, 60_000, true},
            {"half as slow again", 20, 0, 3_000, 600, 8, 60_000, false},
            {"slow, but hardly seen", 5, 0, 5_000, 600, 8, 60_000, false},
        };
    }

    @Test(dataProvider = "comparisons")
    public void detectsRegressions(
            String name,
            long trials,
            long trialFailures,
            long trialMs,
            long formers,
            long formerFailures,
            long formerMs,
            boolean expected) {
        assertEquals(
                CanaryEvaluator.isRegression(
                        counts(trials, trialFailures, trialMs),
                        counts(formers, formerFailures, formerMs)),
                expected,
                name);
    }

    @Test
    public void rarelyFlagsGoodVersion() {
        Random random = new Random(7);
        int wrong = 0;
        for (int move = 0; move < 1_000; move++) {
            long trialFailures = 0;
            long formerFailures = 0;
            boolean isBad = false;
            for (int answer = 1; answer <= 40; answer++) {
                trialFailures += random.nextInt(100) < 14 ? 1 : 0;
                for (int i = 0; i < 12; i++) {
                    formerFailures += random.nextInt(100) < 14 ? 1 : 0;
                }
                isBad |=
                        CanaryEvaluator.isRegression(
                                counts(answer, trialFailures, answer * 30L),
                                counts(12L * answer, formerFailures, answer * 360L));
            }
            wrong += isBad ? 1 : 0;
        }
        assertTrue(wrong <= 10, wrong + " of 1,000 good versions were taken for bad");
    }

    private static VersionCounts counts(long answers, long failures, long totalMs) {
        return VersionCounts.newBuilder()
                .setAnswers(answers)
                .setFailures(failures)
                .setTotalMs(totalMs)
                .build();
    }
}
