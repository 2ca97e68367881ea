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

/** Tests {@link CheapestMixHostPurchase} and what it reads. */
public class CheapestMixHostPurchaseTests {

    private static final HostOffer CHEAP_A = offer("a", PriceClass.RECLAIMABLE, 1);
    private static final HostOffer CHEAP_B = offer("b", PriceClass.RECLAIMABLE, 1.2);
    private static final HostOffer SAFE_A = offer("a", PriceClass.ON_DEMAND, 3);
    private static final List<HostOffer> OFFERS = List.of(SAFE_A, CHEAP_B, CHEAP_A);

    private RefusalBackoff refusals;
    private HostPurchase purchase;

    private static HostOffer offer(String dataCentre, PriceClass priceClass, double price) {
        HostOffer.Kind kind =
                new HostOffer.Kind(
                        new EndpointClassId("gpu"), new DataCentreId(dataCentre), priceClass);
        return new HostOffer(kind, price, 8, 60_000, 0);
    }

    @BeforeMethod
    public void createPurchase() {
        refusals = new RefusalBackoff(10_000, 60_000);
        purchase = new CheapestMixHostPurchase(new PurchaseLimits(0.2, 0.5), refusals);
    }

    private static FleetView fleet(
            Map<HostOffer.Kind, Integer> hosts, int needed, String drained, int transfers) {
        Set<DataCentreId> out = drained.isEmpty() ? Set.of() : Set.of(new DataCentreId(drained));
        return new FleetView(hosts, needed, out, transfers);
    }

    private static int count(List<HostOffer.Kind> kinds, HostOffer offer) {
        return Collections.frequency(kinds, offer.kind());
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {
            {"mix", "", 10, 1, 2, 2},
            {"weight store", "", 2, 1, 1, 0},
            {"drained", "a", 10, 0, 0, 5},
        };
    }

    @Test(dataProvider = "fleets")
    public void startsTheCheapestMixWithinTheLimits(
            String name, String drained, int transfers, int safe, int cheapA, int cheapB) {
        PurchaseDecision decision =
                purchase.decide(fleet(Map.of(), 40, drained, transfers), OFFERS, 0);
        assertEquals(count(decision.starts(), SAFE_A), safe, name);
        assertEquals(count(decision.starts(), CHEAP_A), cheapA, name);
        assertEquals(count(decision.starts(), CHEAP_B), cheapB, name);
    }

    @Test
    public void asksForAnotherKindAfterARefusalUntilThePauseIsOver() {
        refusals.onRefused(CHEAP_A.kind(), 0);
        FleetView fleet = fleet(Map.of(SAFE_A.kind(), 1), 16, "", 1);
        assertEquals(purchase.decide(fleet, OFFERS, 0).starts(), List.of(CHEAP_B.kind()));
        assertEquals(purchase.decide(fleet, OFFERS, 10_000).starts(), List.of(CHEAP_A.kind()));
        refusals.onRefused(CHEAP_A.kind(), 10_000);
        assertEquals(purchase.decide(fleet, OFFERS, 29_000).starts(), List.of(CHEAP_B.kind()));
    }

    @Test
    public void releasesTheDearestHostsThatAreNotNeeded() {
        FleetView fleet = fleet(Map.of(SAFE_A.kind(), 3, CHEAP_A.kind(), 3), 24, "", 5);
        PurchaseDecision decision = purchase.decide(fleet, OFFERS, 0);
        assertEquals(decision.releases(), List.of(SAFE_A.kind(), SAFE_A.kind()));
    }

    @Test
    public void saysWhatStaysWithoutCapacity() {
        PurchaseDecision decision = purchase.decide(fleet(Map.of(), 24, "", 0), OFFERS, 0);
        assertEquals(decision.missingRequests(), 24);
    }

    @Test
    public void limitsWeightTransfersByRateNumberAndRefusal() {
        WeightTransfers transfers = new WeightTransfers(2, 4, 0);
        assertEquals(transfers.permitted(0), 2);
        transfers.onBegin();
        transfers.onBegin();
        assertEquals(transfers.permitted(1_000), 0);
        transfers.onEnd();
        transfers.onEnd();
        assertEquals(transfers.permitted(15_000), 1);
        transfers.onRefused(20_000, 15_000);
        assertEquals(transfers.permitted(34_000), 0);
        assertTrue(transfers.permitted(35_000) > 0);
    }
}
