package org.cardamomthread.policy.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.policy.profile.PriceClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests {@link CheapestMixHostPurchasePolicy}, {@link RefusalBackoff} and {@link
 * WeightTransferLimiter}.
 */
public class CheapestMixHostPurchasePolicyTests {

    private static final HostOffer RECLAIMABLE_A = offer("a", PriceClass.RECLAIMABLE, 1);
    private static final HostOffer RECLAIMABLE_B = offer("b", PriceClass.RECLAIMABLE, 1.2);
    private static final HostOffer ON_DEMAND_A = offer("a", PriceClass.ON_DEMAND, 3);
    private static final List<HostOffer> OFFERS =
            List.of(ON_DEMAND_A, RECLAIMABLE_B, RECLAIMABLE_A);

    private RefusalBackoff refusals;
    private HostPurchasePolicy policy;

    private static HostOffer offer(String dataCentre, PriceClass priceClass, double price) {
        HostOffer.Kind kind =
                new HostOffer.Kind(
                        new EndpointClassId("gpu"), new DataCentreId(dataCentre), priceClass);
        return new HostOffer(kind, price, 8, 60_000, 0);
    }

    @BeforeMethod
    public void createPolicy() {
        refusals = new RefusalBackoff(10_000, 60_000);
        policy = new CheapestMixHostPurchasePolicy(new PurchaseLimits(0.2, 0.5), refusals);
    }

    private static FleetCapacity fleet(
            Map<HostOffer.Kind, Integer> hosts,
            int requiredConcurrency,
            String drained,
            int permittedTransfers) {
        Set<DataCentreId> drainedDataCentres =
                drained.isEmpty() ? Set.of() : Set.of(new DataCentreId(drained));
        return new FleetCapacity(
                hosts, requiredConcurrency, drainedDataCentres, permittedTransfers);
    }

    private static int count(List<HostOffer.Kind> kinds, HostOffer offer) {
        return Collections.frequency(kinds, offer.kind());
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {"cheapest mix", "", 10, 1, 2, 2},
            {"limited weight transfers", "", 2, 1, 1, 0},
            {"drained data centre", "a", 10, 0, 0, 5},
        };
    }

    @Test(dataProvider = "fleets")
    public void startsCheapestMixWithinLimits(
            String name,
            String drained,
            int permittedTransfers,
            int onDemandA,
            int reclaimableA,
            int reclaimableB) {
        PurchaseDecision decision =
                policy.decide(fleet(Map.of(), 40, drained, permittedTransfers), OFFERS, 0);
        assertEquals(count(decision.starts(), ON_DEMAND_A), onDemandA, name);
        assertEquals(count(decision.starts(), RECLAIMABLE_A), reclaimableA, name);
        assertEquals(count(decision.starts(), RECLAIMABLE_B), reclaimableB, name);
    }

    @Test
    public void startsOtherKindDuringBackoffAfterRefusal() {
        refusals.onRefused(RECLAIMABLE_A.kind(), 0);
        FleetCapacity fleet = fleet(Map.of(ON_DEMAND_A.kind(), 1), 16, "", 1);
        assertEquals(policy.decide(fleet, OFFERS, 0).starts(), List.of(RECLAIMABLE_B.kind()));
        assertEquals(policy.decide(fleet, OFFERS, 10_000).starts(), List.of(RECLAIMABLE_A.kind()));
        refusals.onRefused(RECLAIMABLE_A.kind(), 10_000);
        assertEquals(policy.decide(fleet, OFFERS, 29_000).starts(), List.of(RECLAIMABLE_B.kind()));
    }

    @Test
    public void releasesMostExpensiveSurplusHosts() {
        FleetCapacity fleet =
                fleet(Map.of(ON_DEMAND_A.kind(), 3, RECLAIMABLE_A.kind(), 3), 24, "", 5);
        PurchaseDecision decision = policy.decide(fleet, OFFERS, 0);
        assertEquals(decision.releases(), List.of(ON_DEMAND_A.kind(), ON_DEMAND_A.kind()));
    }

    @Test
    public void reportsUnmetConcurrency() {
        PurchaseDecision decision = policy.decide(fleet(Map.of(), 24, "", 0), OFFERS, 0);
        assertEquals(decision.unmetConcurrency(), 24);
    }

    @Test
    public void limitsWeightTransfersByRateConcurrencyAndRefusal() {
        WeightTransferLimiter limiter = new WeightTransferLimiter(2, 4, 0);
        assertEquals(limiter.permittedStarts(0), 2);
        limiter.onStarted();
        limiter.onStarted();
        assertEquals(limiter.permittedStarts(1_000), 0);
        limiter.onEnded();
        limiter.onEnded();
        assertEquals(limiter.permittedStarts(15_000), 1);
        limiter.onRefused(20_000, 15_000);
        assertEquals(limiter.permittedStarts(34_000), 0);
        assertTrue(limiter.permittedStarts(35_000) > 0);
    }
}
