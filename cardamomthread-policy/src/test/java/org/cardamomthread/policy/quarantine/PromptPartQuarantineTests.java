package org.cardamomthread.policy.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.policy.quarantine.TrialDecision.Kind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when {@link PromptPartQuarantine} quarantines, tries and releases a part. */
public class PromptPartQuarantineTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final PromptPartKey DEADLY = PromptPartKey.of(CHAT, "deadly");
    private static final PromptPartKey SHARED = PromptPartKey.of(CHAT, "shared");
    private static final long DAY_MS = 120_000;
    private static final long STEP_MS = 200;

    private PromptPartQuarantine quarantine;

    @BeforeMethod
    public void createQuarantine() {
        quarantine = new PromptPartQuarantine();
    }

    @DataProvider
    public Object[][] evidence() {
        return new Object[][] {
            {"no crash", false, 0, 2_000, Kind.UNRESTRICTED},
            {"never answered, one crash", false, 1, 2_000, Kind.TRIAL},
            {"never answered, two crashes", false, 2, 2_000, Kind.REJECTED},
            {"answered before, one crash", true, 1, 2_000, Kind.UNRESTRICTED},
            {"answered before, two crashes", true, 2, 2_000, Kind.UNRESTRICTED},
            {"answered before, three crashes", true, 3, 2_000, Kind.TRIAL},
            {"answered before, many at once", true, 13, 50, Kind.UNRESTRICTED},
            {"never answered, many at once", false, 13, 50, Kind.TRIAL},
        };
    }

    @Test(dataProvider = "evidence")
    public void quarantinesByCrashesAndEarlierAnswers(
            String name, boolean isVouched, int losses, long intervalMs, Kind expected) {
        long nowMs = 10_000;
        for (int i = 0; i < losses; i++) {
            quarantine.recordLoss(DEADLY, "endpoint-" + i, isVouched, nowMs);
            nowMs += intervalMs;
        }
        assertEquals(quarantine.decide(List.of(SHARED, DEADLY), "t", nowMs).kind(), expected, name);
    }

    @Test
    public void countsLossesOfOneEndpointOnce() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.recordLoss(DEADLY, "e1", false, 12_000);
        assertEquals(quarantine.list(10, 12_000).get(0).crashes(), 1);
    }

    @Test
    public void limitsCrashesOfDeadlyPartWithoutRestrictingOthers() {
        int crashes = 0;
        for (long nowMs = 10_000; nowMs < 10_000 + DAY_MS; nowMs += STEP_MS) {
            assertTrue(quarantine.decide(List.of(SHARED), "sound", nowMs).maySend());
            quarantine.recordAnswer(SHARED);
            if (quarantine.decide(List.of(SHARED, DEADLY), "t" + nowMs, nowMs).maySend()) {
                crashes++;
                quarantine.recordLoss(SHARED, "endpoint-" + crashes, true, nowMs);
                quarantine.recordLoss(DEADLY, "endpoint-" + crashes, false, nowMs);
            }
        }
        assertTrue(crashes <= 5, crashes + " crashes in " + DAY_MS + " ms");
    }

    @Test
    public void allowsOneTrialAtATime() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        assertEquals(quarantine.decide(List.of(DEADLY), "a", 12_000), TrialDecision.TRIAL);
        TrialDecision second = quarantine.decide(List.of(DEADLY), "b", 12_000);
        assertFalse(second.maySend());
        assertTrue(second.retryAfterMs() > 0);
    }

    @Test
    public void allowsHolderOfTrialToSendAgain() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.decide(List.of(DEADLY), "a", 12_000);
        assertEquals(quarantine.decide(List.of(DEADLY), "a", 12_100), TrialDecision.TRIAL);
    }

    @Test
    public void releasesQuarantineWhenTrialIsAnswered() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.decide(List.of(DEADLY), "a", 12_000);
        assertTrue(quarantine.recordAnswer(DEADLY));
        assertEquals(quarantine.decide(List.of(DEADLY), "b", 12_100), TrialDecision.UNRESTRICTED);
    }

    @Test
    public void allowsNextTrialWhenOneEndsWithoutEvidence() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.decide(List.of(DEADLY), "a", 12_000);
        quarantine.releaseTrial(DEADLY, "other");
        assertFalse(quarantine.decide(List.of(DEADLY), "b", 12_100).maySend());
        quarantine.releaseTrial(DEADLY, "a");
        assertTrue(quarantine.decide(List.of(DEADLY), "b", 12_100).maySend());
    }

    @Test
    public void allowsNextTrialWhenHolderNeverReports() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.decide(List.of(DEADLY), "a", 12_000);
        long expiredMs = 12_000 + PromptPartQuarantine.TRIAL_TIMEOUT_MS;
        assertTrue(quarantine.decide(List.of(DEADLY), "b", expiredMs).maySend());
    }

    @Test
    public void countsLossOfTrialAsSeparateCrash() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.decide(List.of(DEADLY), "a", 10_100);
        quarantine.recordLoss(DEADLY, "e2", false, 10_300);
        assertEquals(quarantine.list(10, 10_300).get(0).crashes(), 2);
    }

    @Test
    public void releasesPartThatAnotherNodeVouchesFor() {
        quarantine.recordLoss(SHARED, "e1", false, 10_000);
        quarantine.recordVouch(SHARED);
        assertEquals(quarantine.decide(List.of(SHARED), "a", 10_100), TrialDecision.UNRESTRICTED);
    }

    @Test
    public void keepsQuarantineWhenEntriesPassToNewOwner() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.recordLoss(DEADLY, "e2", false, 12_000);
        PromptPartQuarantine successor = new PromptPartQuarantine();
        long successorNowMs = 500_000;
        quarantine.list(10, 12_500).forEach(entry -> successor.merge(entry, successorNowMs));
        assertFalse(successor.decide(List.of(DEADLY), "a", successorNowMs).maySend());
        assertEquals(successor.list(10, successorNowMs).get(0).crashes(), 2);
    }

    @Test
    public void forgetsPartAfterRetention() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        long laterMs = 10_001 + PromptPartQuarantine.RETENTION_MS;
        assertTrue(quarantine.list(10, laterMs).isEmpty());
    }

    @Test
    public void keepsPartsWithMostCrashesWhenFull() {
        quarantine.recordLoss(DEADLY, "e1", false, 10_000);
        quarantine.recordLoss(DEADLY, "e2", false, 12_000);
        for (int i = 0; i < 2 * PromptPartQuarantine.MAX_PARTS; i++) {
            quarantine.recordLoss(PromptPartKey.of(CHAT, "p" + i), "e3", false, 13_000 + i);
        }
        List<QuarantineEntry> entries = quarantine.list(Integer.MAX_VALUE, 20_000);
        assertEquals(entries.size(), PromptPartQuarantine.MAX_PARTS);
        assertEquals(entries.get(0).key(), DEADLY);
    }

    @Test
    public void countsLateReportsOfOneCrashOnce() {
        quarantine.recordLoss(SHARED, loss("e1", "", 10_000), 10_000);
        quarantine.recordLoss(SHARED, loss("e2", "", 12_000), 12_000);
        quarantine.recordLoss(SHARED, loss("e1", "", 10_000), 12_500);
        quarantine.recordLoss(SHARED, loss("e3", "", 10_400), 13_500);
        assertEquals(quarantine.list(10, 13_500).get(0).crashes(), 2);
    }

    @Test
    public void keepsTrialWhenAnotherRequestIsLost() {
        quarantine.recordLoss(DEADLY, loss("e1", "", 10_000), 10_000);
        quarantine.decide(List.of(DEADLY), "a", 10_500);
        quarantine.recordLoss(DEADLY, loss("e2", "", 10_400), 10_600);
        assertFalse(quarantine.decide(List.of(DEADLY), "b", 10_700).maySend());
        quarantine.recordLoss(DEADLY, loss("e3", "a", 10_800), 10_800);
        assertEquals(quarantine.list(10, 10_800).get(0).crashes(), 2);
    }

    @DataProvider
    public Object[][] answersAroundACrash() {
        return new Object[][] {{"before", 9_900, Kind.REJECTED}, {"after", 14_100, null}};
    }

    @Test(dataProvider = "answersAroundACrash")
    public void endsQuarantineOnlyByAnAnswerAfterTheLastCrash(
            String name, long answeredMs, Kind expected) {
        for (int i = 0; i < 4; i++) {
            quarantine.recordLoss(DEADLY, loss("e" + i, "", 10_000 + 1_300 * i), 14_000);
        }
        quarantine.recordAnswer(DEADLY, answeredMs);
        Kind kind = quarantine.decide(List.of(DEADLY), "a", 14_200).kind();
        assertEquals(kind, expected == null ? Kind.UNRESTRICTED : expected, name);
    }

    @DataProvider
    public Object[][] otherAnswers() {
        long firstPauseMs = PromptPartQuarantine.FIRST_TRIAL_PAUSE_MS;
        return new Object[][] {
            {"none", -10_000, firstPauseMs},
            {"sent before each crash", -100, firstPauseMs},
            {"sent after each crash", 100, 4 * firstPauseMs},
        };
    }

    @Test(dataProvider = "otherAnswers")
    public void prolongsThePauseOnlyIfOtherRequestsOfTheServiceAreAnswered(
            String name, long sentAfterCrashMs, long expectedPauseMs) {
        long nowMs = 0;
        for (int i = 0; i < 3; i++) {
            nowMs = 10_000 + 3_000 * i;
            quarantine.recordLoss(DEADLY, loss("e" + i, "", nowMs), nowMs);
            quarantine.recordServiceAnswer(CHAT, nowMs + sentAfterCrashMs);
        }
        assertEquals(quarantine.list(1, nowMs).get(0).trialWaitMs(), expectedPauseMs, name);
    }

    @Test
    public void withdrawsLossesOfEndpointsThatDidNotCrash() {
        quarantine.recordLoss(DEADLY, loss("e1", "", 10_000), 10_000);
        quarantine.recordLoss(DEADLY, loss("e2", "", 10_200), 10_200);
        quarantine.recordLoss(DEADLY, loss("e3", "", 12_000), 12_000);
        assertTrue(quarantine.retractLosses("e1").isEmpty());
        assertTrue(quarantine.retractLosses("e3").isEmpty());
        assertEquals(quarantine.list(1, 12_000).get(0).crashes(), 1);
        assertEquals(quarantine.retractLosses("e2"), List.of(DEADLY));
        assertTrue(quarantine.list(1, 12_000).isEmpty());
    }

    @Test
    public void boundsLengthOfIds() {
        PromptPartKey key = PromptPartKey.of(CHAT, "x".repeat(10_000));
        assertTrue(key.part().length() <= PromptPartKey.MAX_PART_LENGTH);
    }

    @Test
    public void triesPartsSeparatelyThatWereOnlyLostTogether() {
        long crashMs = loseTogetherTwice();
        assertFalse(quarantine.decide(List.of(SHARED, DEADLY), "b", crashMs + 100).maySend());
        assertEquals(quarantine.decide(List.of(SHARED), "c", crashMs + 100), TrialDecision.TRIAL);
        assertTrue(quarantine.recordAnswer(SHARED));
        assertFalse(quarantine.decide(List.of(SHARED, DEADLY), "d", crashMs + 200).maySend());
        assertEquals(
                quarantine.decide(List.of(SHARED), "e", crashMs + 200), TrialDecision.UNRESTRICTED);
    }

    @Test
    public void pausesTrialsOfPartThatIsLostWithoutItsCompanion() {
        long crashMs = loseTogetherTwice();
        quarantine.decide(List.of(DEADLY), "b", crashMs + 100);
        quarantine.recordLoss(DEADLY, loss("e3", "b", crashMs + 300), crashMs + 300);
        assertFalse(quarantine.decide(List.of(DEADLY), "c", crashMs + 400).maySend());
    }

    /** Loses two parts with one request and with a trial; returns when the trial was lost. */
    private long loseTogetherTwice() {
        List<PromptPartKey> parts = List.of(SHARED, DEADLY);
        parts.forEach(part -> quarantine.recordLoss(part, "e1", false, 10_000));
        quarantine.decide(parts, "a", 12_000);
        quarantine.recordLoss(
                SHARED, new EndpointLoss("e2", "a", false, Set.of(DEADLY), 12_200), 12_200);
        quarantine.recordLoss(
                DEADLY, new EndpointLoss("e2", "a", false, Set.of(SHARED), 12_200), 12_200);
        return 12_200;
    }

    private static EndpointLoss loss(String endpoint, String trial, long lostMs) {
        return new EndpointLoss(endpoint, trial, false, Set.of(), lostMs);
    }
}
