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
            {"no results yet", 0, 0, 0, 0, 0, 0, false},
            {"equally good", 60, 1, 6_000, 600, 8, 60_000, false},
            {"fails as often as the former version", 60, 9, 6_000, 600, 84, 60_000, false},
            {"half of the requests fail", 20, 10, 2_000, 600, 8, 60_000, true},
            {
                "four in ten fail, one in seven of the former version",
                40,
                16,
                4_000,
                600,
                84,
                60_000,
                true
            },
            {"several times slower", 20, 0, 10_000, 600, 8, 60_000, true},
            {"mean response time 1.5 times as long", 20, 0, 3_000, 600, 8, 60_000, false},
            {"slow, but too few results", 5, 0, 5_000, 600, 8, 60_000, false},
        };
    }

    @Test(dataProvider = "comparisons")
    public void detectsRegressions(
            String name,
            long canaryResponses,
            long canaryFailures,
            long canaryTotalMs,
            long formerResponses,
            long formerFailures,
            long formerTotalMs,
            boolean expected) {
        assertEquals(
                CanaryEvaluator.isRegression(
                        counts(canaryResponses, canaryFailures, canaryTotalMs),
                        counts(formerResponses, formerFailures, formerTotalMs)),
                expected,
                name);
    }

    @Test
    public void rarelyFlagsGoodVersion() {
        Random random = new Random(7);
        int falseAlarms = 0;
        for (int move = 0; move < 1_000; move++) {
            long canaryFailures = 0;
            long formerFailures = 0;
            boolean isFlagged = false;
            for (int responses = 1; responses <= 40; responses++) {
                canaryFailures += random.nextInt(100) < 14 ? 1 : 0;
                for (int i = 0; i < 12; i++) {
                    formerFailures += random.nextInt(100) < 14 ? 1 : 0;
                }
                isFlagged |=
                        CanaryEvaluator.isRegression(
                                counts(responses, canaryFailures, responses * 30L),
                                counts(12L * responses, formerFailures, responses * 360L));
            }
            falseAlarms += isFlagged ? 1 : 0;
        }
        assertTrue(falseAlarms <= 10, falseAlarms + " of 1,000 good versions were flagged as bad");
    }

    private static VersionCounts counts(long responses, long failures, long totalMs) {
        return VersionCounts.newBuilder()
                .setAnswers(responses)
                .setFailures(failures)
                .setTotalMs(totalMs)
                .build();
    }
}
