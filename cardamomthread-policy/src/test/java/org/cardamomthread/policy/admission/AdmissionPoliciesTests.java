package org.cardamomthread.policy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link RetryBudget}, {@link HedgingPolicy}, {@link PreemptionPolicy} and {@link
 * DeferralPolicy}.
 */
public class AdmissionPoliciesTests {

    @DataProvider
    public Object[][] successes() {
        return new Object[][] {{0, 0}, {100, 10}, {1_000, 100}};
    }

    @Test(dataProvider = "successes")
    public void permitsRetriesInRatioToSuccesses(int successes, int retries) {
        RetryBudget budget = new RetryBudget(0.1, 0, 1_000, 0);
        while (budget.tryConsume(0)) {
            // consume the initial burst
        }
        for (int i = 0; i < successes; i++) {
            budget.onSuccess();
        }
        int permitted = 0;
        while (budget.tryConsume(0)) {
            permitted++;
        }
        assertTrue(Math.abs(permitted - retries) <= 1, "number of retries permitted: " + permitted);
    }

    @Test
    public void permitsMinimumRetryRateWithoutSuccesses() {
        RetryBudget budget = new RetryBudget(0.1, 1, 1, 0);
        assertTrue(budget.tryConsume(0));
        assertFalse(budget.tryConsume(500));
        assertTrue(budget.tryConsume(1_000));
    }

    private static HedgingPolicy.HedgeCandidate call(
            Priority priority,
            boolean idempotent,
            boolean firstByteReceived,
            int otherEndpoints,
            double elapsedMs) {
        return new HedgingPolicy.HedgeCandidate(
                priority,
                idempotent,
                firstByteReceived,
                false,
                otherEndpoints,
                elapsedMs,
                500,
                1_800);
    }

    @DataProvider
    public Object[][] hedges() {
        return new Object[][] {
            {call(Priority.URGENT, true, false, 1, 1_200), true},
            {call(Priority.URGENT, true, false, 1, 700), false},
            {call(Priority.URGENT, false, false, 1, 1_200), false},
            {call(Priority.URGENT, true, true, 1, 1_200), false},
            {call(Priority.URGENT, true, false, 0, 1_200), false},
            {call(Priority.PATIENT, true, false, 1, 1_200), false},
        };
    }

    @Test(dataProvider = "hedges")
    public void hedgesOnlyLateIdempotentUrgentCalls(
            HedgingPolicy.HedgeCandidate call, boolean expected) {
        HedgingPolicy policy = new HedgingPolicy(new RetryBudget(0, 0, 1, 0));
        assertEquals(policy.shouldHedge(call, 0), expected);
        assertFalse(policy.shouldHedge(call, 0), "the budget is exhausted");
    }

    private static RunningCall running(
            String id, Priority priority, boolean resumable, long tokens, long slackMs) {
        return new RunningCall(
                new RequestId(id), new EndpointId("e"), priority, resumable, tokens, slackMs);
    }

    @Test
    public void preemptsDeferrableCallWithLeastLoss() {
        List<RunningCall> calls =
                List.of(
                        running("urgent", Priority.URGENT, true, 0, 60_000),
                        running("high-loss", Priority.PATIENT, false, 500, 60_000),
                        running("no-slack", Priority.PATIENT, true, 0, 10),
                        running("no-loss", Priority.PATIENT, true, 9_000, 60_000));
        PreemptionPolicy policy = new PreemptionPolicy();
        assertEquals(policy.selectVictim(calls, 100).orElseThrow().id(), new RequestId("no-loss"));
        assertEquals(policy.selectVictim(calls.subList(0, 1), 100), Optional.empty());
        assertEquals(policy.selectVictim(calls.subList(1, 2), 5), Optional.empty());
    }

    @DataProvider
    public Object[][] deferrals() {
        return new Object[][] {
            {0L, 1.0, 0.5, DeferralPolicy.Action.START_CHEAP},
            {0L, 2.0, 0.5, DeferralPolicy.Action.HOLD},
            {0L, 1.9, 0.5, DeferralPolicy.Action.HOLD},
            {0L, 1.0, 0.0, DeferralPolicy.Action.HOLD},
            {850_000L, 2.0, 0.5, DeferralPolicy.Action.START_CHEAP},
            {930_000L, 9.0, 0.0, DeferralPolicy.Action.START_BY_DEADLINE},
        };
    }

    @Test(dataProvider = "deferrals")
    public void holdsDeferrableJobUntilPriceIsLowOrDeadlineIsNear(
            long nowMs, double price, double freeCapacityShare, DeferralPolicy.Action expected) {
        DeferralPolicy.Decision decision =
                new DeferralPolicy()
                        .decide(
                                new DeferrableJob(0, 1_000_000, 30_000),
                                new MarketSnapshot(price, 1, 2.2, 0, freeCapacityShare),
                                nowMs);
        assertEquals(decision.action(), expected);
    }

    @Test
    public void startsDeferrableJobWhereItsPromptIsCached() {
        DeferrableJob job = new DeferrableJob(0, 1_000_000, 30_000);
        MarketSnapshot cached = new MarketSnapshot(2, 1, 2.2, 0.6, 0.5);
        assertEquals(
                new DeferralPolicy().decide(job, cached, 0).action(),
                DeferralPolicy.Action.START_CHEAP);
    }
}
