package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.QuotaAllocation;
import org.cardamomthread.policy.admission.TokenBucket;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that {@link LocalQuotaShares} and {@link ServiceRetryBudget} keep their limits over several
 * gateways together.
 */
public class QuotaAndRetryLimitsTests {

    private static final ForwardingLimits LIMITS =
            new ForwardingLimits(
                    0.2,
                    54,
                    10,
                    new QuotaAllocation(8, 0.1, 140_000),
                    5,
                    new CanaryAllocation(0.1, 50));
    private static final QuotaAllocation ALLOCATION = LIMITS.quotaAllocation();
    private static final double RATE = 20_000;
    private static final double BURST = 20_000;
    private static final ServiceId CHAT = new ServiceId("chat");

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[20][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    /** Each gateway receives more than it may admit; the quota must still hold in every window. */
    @Test(dataProvider = "seeds")
    public void gatewaysTogetherStayWithinQuota(long seed) {
        Random random = new Random(seed);
        ManualTimeSource time = new ManualTimeSource();
        int gateways = 1 + random.nextInt(12);
        TrafficAccount account = account();
        LocalQuotaShares[] gatewayShares = new LocalQuotaShares[gateways];
        for (int i = 0; i < gateways; i++) {
            gatewayShares[i] = new LocalQuotaShares(time, ALLOCATION);
            gatewayShares[i].applyView(view(account, gateways));
        }
        double[] admitted = new double[300];
        for (int step = 0; step < admitted.length; step++) {
            for (LocalQuotaShares quotaShares : gatewayShares) {
                double amount = 100 + random.nextInt(4_000);
                if (quotaShares.tryConsume(account, amount)) {
                    admitted[step] += amount;
                }
            }
            time.advanceMs(100);
        }
        double allowed =
                (RATE * ALLOCATION.windowS() + BURST) * (1 + ALLOCATION.overshoot())
                        + ALLOCATION.slack();
        int window = (int) (ALLOCATION.windowS() * 10);
        for (int start = 0; start + window <= admitted.length; start++) {
            double sum = 0;
            for (int i = start; i < start + window; i++) {
                sum += admitted[i];
            }
            assertTrue(sum <= allowed, sum + " quota units admitted, only " + allowed + " allowed");
        }
    }

    @Test
    public void admitsNothingBeforeFirstView() {
        LocalQuotaShares quotaShares = new LocalQuotaShares(new ManualTimeSource(), ALLOCATION);
        assertFalse(quotaShares.tryConsume(account(), 1));
    }

    @Test
    public void refundRestoresQuota() {
        ManualTimeSource time = new ManualTimeSource();
        LocalQuotaShares quotaShares = new LocalQuotaShares(time, ALLOCATION);
        TrafficAccount account = account();
        quotaShares.applyView(view(account, 1));
        double taken = 0;
        while (quotaShares.tryConsume(account, 1_000)) {
            taken += 1_000;
        }
        assertTrue(quotaShares.waitMs(account, 1_000) > 0);
        quotaShares.refund(account, 1_000);
        assertTrue(
                quotaShares.tryConsume(account, 1_000),
                "quota units taken before the refund: " + taken);
    }

    @DataProvider
    public Object[][] gatewayCounts() {
        return new Object[][] {{1}, {2}, {6}, {20}};
    }

    @Test(dataProvider = "gatewayCounts")
    public void gatewaysTogetherStayWithinRetryBudget(int gateways) {
        ManualTimeSource time = new ManualTimeSource();
        ServiceRetryBudget[] retryBudgets = new ServiceRetryBudget[gateways];
        for (int i = 0; i < gateways; i++) {
            retryBudgets[i] = new ServiceRetryBudget(time, LIMITS);
            retryBudgets[i].setGatewayCount(gateways);
        }
        int firstAttempts = 0;
        int retries = 0;
        for (int step = 0; step < 100; step++) {
            for (ServiceRetryBudget retryBudget : retryBudgets) {
                retryBudget.recordFirstAttempt(CHAT);
                firstAttempts++;
                while (retryBudget.tryConsumeRetry(CHAT)) {
                    retries++;
                }
            }
            time.advanceMs(100);
        }
        double allowed = LIMITS.retryRatio() * firstAttempts + LIMITS.retryAllowance();
        assertTrue(retries <= allowed, retries + " retries, only " + allowed + " allowed");
        assertTrue(retries > 0);
    }

    @Test
    public void bucketRefillsUpToCapacity() {
        TokenBucket bucket = new TokenBucket(10, 5, 0, 0);
        assertFalse(bucket.tryConsume(1, 50));
        assertEquals(bucket.waitMs(1, 50), 50);
        assertTrue(bucket.tryConsume(1, 100));
        assertTrue(bucket.tryConsume(5, 10_000));
        assertFalse(bucket.tryConsume(1, 10_000));
    }

    private static TrafficAccount account() {
        return new TrafficAccount(
                new ClientAccountId("bars"),
                List.of("k"),
                OptionalInt.empty(),
                true,
                200,
                RATE,
                BURST);
    }

    private static GatewayView view(TrafficAccount account, int gateways) {
        TrafficDocument document = new TrafficDocument(1, List.of(), List.of(), List.of(account));
        return new GatewayView(
                1,
                Optional.of(new RouteTable(document)),
                Set.of(),
                Map.of(),
                Map.of(),
                gateways,
                Map.of(account.id(), 1.0 / gateways),
                Map.of());
    }
}
