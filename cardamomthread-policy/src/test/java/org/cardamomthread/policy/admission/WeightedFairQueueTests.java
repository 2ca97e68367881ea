package org.cardamomthread.policy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link WeightedFairQueue}. */
public class WeightedFairQueueTests {

    private static final ClientAccountId LARGE = new ClientAccountId("large");
    private static final ClientAccountId SMALL = new ClientAccountId("small");

    private WeightedFairQueue queue;
    private int nextRequestNumber;

    @BeforeMethod
    public void createQueue() {
        queue = new WeightedFairQueue(100, account -> account.equals(LARGE) ? 3 : 1);
    }

    private QueuedRequest request(ClientAccountId account, Priority priority, double cost) {
        return new QueuedRequest(
                new RequestId("r" + nextRequestNumber++), account, priority, cost, 10_000);
    }

    private void offer(ClientAccountId account, Priority priority, int requests, double cost) {
        for (int i = 0; i < requests; i++) {
            queue.offer(request(account, priority, cost), 0);
        }
    }

    @DataProvider
    public Object[][] costs() {
        return new Object[][] {{1.0, 1.0}, {1.0, 5.0}, {7.0, 2.0}};
    }

    @Test(dataProvider = "costs")
    public void sharesCostByWeightIndependentlyOfRequestCost(double largeCost, double smallCost) {
        Map<ClientAccountId, Double> servedCost = new HashMap<>();
        offer(LARGE, Priority.URGENT, 50, largeCost);
        offer(SMALL, Priority.URGENT, 50, smallCost);
        boolean bothAccountsWait = true;
        while (bothAccountsWait) {
            QueuedRequest request = queue.poll().orElseThrow();
            servedCost.merge(request.account(), request.cost(), Double::sum);
            bothAccountsWait =
                    servedCost.getOrDefault(LARGE, 0.0) < 49 * largeCost
                            && servedCost.getOrDefault(SMALL, 0.0) < 49 * smallCost;
        }
        double difference = servedCost.get(LARGE) / 3 - servedCost.get(SMALL);
        assertTrue(Math.abs(difference) <= largeCost + smallCost, servedCost.toString());
    }

    @Test
    public void servesNewAccountAtOnceWithoutCreditForIdleTime() {
        offer(LARGE, Priority.URGENT, 60, 1);
        for (int i = 0; i < 30; i++) {
            queue.poll();
        }
        offer(SMALL, Priority.URGENT, 30, 1);
        int smallAccountRequests = 0;
        for (int i = 0; i < 20; i++) {
            smallAccountRequests += queue.poll().orElseThrow().account().equals(SMALL) ? 1 : 0;
        }
        assertTrue(
                smallAccountRequests >= 4 && smallAccountRequests <= 6,
                "requests of the small account: " + smallAccountRequests + " of 20");
    }

    @Test
    public void servesUrgentBeforeDeferrableRequests() {
        offer(LARGE, Priority.PATIENT, 5, 1);
        offer(SMALL, Priority.URGENT, 1, 100);
        assertEquals(queue.poll().orElseThrow().account(), SMALL);
    }

    @Test
    public void displacesRequestsForAccountBelowShareAndForUrgentRequests() {
        offer(LARGE, Priority.URGENT, 100, 1);
        AdmissionRefusal displaced = queue.offer(request(SMALL, Priority.URGENT, 1), 0).get(0);
        assertEquals(displaced.reason(), AdmissionRefusal.Reason.DISPLACED);
        assertEquals(displaced.request().account(), LARGE);
        AdmissionRefusal full = queue.offer(request(LARGE, Priority.URGENT, 1), 0).get(0);
        assertEquals(full.reason(), AdmissionRefusal.Reason.QUEUE_FULL);
        assertTrue(full.retryAfterMs() > 0);
        createQueue();
        offer(SMALL, Priority.PATIENT, 100, 1);
        QueuedRequest urgent = request(SMALL, Priority.URGENT, 1);
        assertEquals(queue.offer(urgent, 0).get(0).request().priority(), Priority.PATIENT);
        assertEquals(queue.size(), 100);
    }

    @Test
    public void refusesRequestsThatCannotStartInTime() {
        offer(SMALL, Priority.URGENT, 3, 1);
        assertEquals(queue.expire(9_999), List.of());
        assertEquals(queue.expire(10_000).size(), 3);
        assertEquals(queue.size(), 0);
        assertEquals(
                queue.offer(request(SMALL, Priority.URGENT, 1), 10_000).get(0).reason(),
                AdmissionRefusal.Reason.TOO_LATE);
    }
}
