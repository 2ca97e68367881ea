package org.cardamomthread.policy.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointClassId;
import org.cardamomthread.policy.profile.PriceClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EndpointMixPlanner} and {@link EndpointCountEstimator}. */
public class EndpointMixPlannerTests {

    private static final List<String> DATA_CENTRES = List.of("a", "b", "c", "d");

    private RefusalBackoff refusals;
    private EndpointMixPlanner planner;

    @BeforeMethod
    public void createPlanner() {
        refusals = new RefusalBackoff(2_000, 8_000);
        planner = new EndpointMixPlanner(0.3, refusals);
    }

    @Test
    public void releasesNothingBeforeReclaimableEndpointsAreWarm() {
        Map<HostOffer.Kind, Integer> onDemand = onDemandPerDataCentre(2);
        Map<HostOffer.Kind, Integer> orders = plan(8, onDemand, onDemand);
        assertEquals(orders.values().stream().mapToInt(Integer::intValue).sum(), 8);
        assertTrue(orders.keySet().stream().allMatch(FleetCapacity::isReclaimable), "" + orders);
    }

    @Test
    public void releasesOnDemandEndpointsOnceReclaimableOnesAreWarm() {
        Map<HostOffer.Kind, Integer> provisioned = onDemandPerDataCentre(2);
        DATA_CENTRES.forEach(name -> provisioned.put(kind(name, PriceClass.RECLAIMABLE), 2));
        Map<HostOffer.Kind, Integer> orders = plan(8, provisioned, provisioned);
        assertEquals(orders.size(), DATA_CENTRES.size());
        DATA_CENTRES.forEach(
                name -> assertEquals((int) orders.get(kind(name, PriceClass.ON_DEMAND)), 0));
    }

    @Test
    public void distributesReclaimableEndpointsOverDataCentres() {
        Map<HostOffer.Kind, Integer> orders = plan(10, Map.of(), Map.of());
        for (String name : DATA_CENTRES) {
            int planned = orders.getOrDefault(kind(name, PriceClass.RECLAIMABLE), 0);
            assertTrue(planned >= 1 && planned <= 3, name + ": number of endpoints " + planned);
        }
    }

    @Test
    public void fallsBackToOnDemandEndpointsAfterRefusals() {
        DATA_CENTRES.forEach(name -> refusals.onRefused(kind(name, PriceClass.RECLAIMABLE), 1_000));
        Map<HostOffer.Kind, Integer> orders = plan(5, Map.of(), Map.of());
        assertEquals(orders.values().stream().mapToInt(Integer::intValue).sum(), 5);
        assertTrue(orders.keySet().stream().noneMatch(FleetCapacity::isReclaimable), "" + orders);
    }

    @Test
    public void ordersNoOnDemandEndpointsBeyondRequirement() {
        DATA_CENTRES.forEach(name -> refusals.onRefused(kind(name, PriceClass.RECLAIMABLE), 1_000));
        Map<HostOffer.Kind, Integer> warm = onDemandPerDataCentre(1);
        Map<HostOffer.Kind, Integer> orders =
                planner.plan(
                        new EndpointMixPlanner.PlanningInput(12, 5, warm, warm, 1, 10),
                        offers(),
                        1_500);
        assertEquals(orders.values().stream().mapToInt(Integer::intValue).sum(), 2, "" + orders);
    }

    @DataProvider
    public Object[][] seeds() {
        Object[][] seeds = new Object[200][];
        for (int i = 0; i < seeds.length; i++) {
            seeds[i] = new Object[] {(long) i};
        }
        return seeds;
    }

    @Test(dataProvider = "seeds")
    public void neverReleasesBelowRequirementNorOrdersRefusedKinds(long seed) {
        Random random = new Random(seed);
        Map<HostOffer.Kind, Integer> warm = new HashMap<>();
        for (HostOffer offer : offers()) {
            int count = random.nextInt(4);
            if (count > 0) {
                warm.put(offer.kind(), count);
            }
            if (random.nextInt(4) == 0) {
                refusals.onRefused(offer.kind(), 1_000);
            }
        }
        int required = 1 + random.nextInt(14);
        Map<HostOffer.Kind, Integer> orders = plan(required, warm, warm);
        int warmBefore = sum(warm);
        int releases = 0;
        for (Map.Entry<HostOffer.Kind, Integer> order : orders.entrySet()) {
            int before = warm.getOrDefault(order.getKey(), 0);
            releases += Math.max(0, before - order.getValue());
            if (order.getValue() > before) {
                assertTrue(
                        refusals.mayRequest(order.getKey(), 1_500),
                        "ordered a kind during its backoff");
            }
        }
        assertTrue(warmBefore - releases >= Math.min(required, warmBefore), "" + orders);
    }

    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {0.0, 64, 0.0, 0.02, 1},
            {25.0, 64, 137_000.0, 0.0106, 6},
            {58.0, 64, 290_000.0, 0.0048, 8},
            {10.0, 0, 0.0, 0.0, 40},
        };
    }

    @Test(dataProvider = "loads")
    public void estimatesNumberOfEndpoints(
            double inFlight, int slots, double tokensPerS, double msPerToken, int expected) {
        assertEquals(
                EndpointCountEstimator.estimate(inFlight, slots, tokensPerS, msPerToken), expected);
    }

    private Map<HostOffer.Kind, Integer> plan(
            int required,
            Map<HostOffer.Kind, Integer> provisioned,
            Map<HostOffer.Kind, Integer> warm) {
        return planner.plan(
                new EndpointMixPlanner.PlanningInput(required, required, provisioned, warm, 1, 10),
                offers(),
                1_500);
    }

    private static int sum(Map<HostOffer.Kind, Integer> counts) {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    private static Map<HostOffer.Kind, Integer> onDemandPerDataCentre(int count) {
        Map<HostOffer.Kind, Integer> counts = new HashMap<>();
        DATA_CENTRES.forEach(name -> counts.put(kind(name, PriceClass.ON_DEMAND), count));
        return counts;
    }

    private static List<HostOffer> offers() {
        List<HostOffer> offers = new ArrayList<>();
        double price = 0.8;
        for (String name : DATA_CENTRES) {
            offers.add(new HostOffer(kind(name, PriceClass.ON_DEMAND), price, 1, 4_000, 0));
            offers.add(new HostOffer(kind(name, PriceClass.RECLAIMABLE), price * 0.2, 1, 4_000, 0));
            price += 0.1;
        }
        return offers;
    }

    private static HostOffer.Kind kind(String dataCentre, PriceClass priceClass) {
        return new HostOffer.Kind(
                new EndpointClassId("engine"), new DataCentreId(dataCentre), priceClass);
    }
}
