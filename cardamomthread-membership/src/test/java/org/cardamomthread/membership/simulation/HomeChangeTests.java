package org.cardamomthread.membership.simulation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.membership.gateway.CreditPoolSettings;
import org.cardamomthread.membership.generated.PeerMessage;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests credits while homes change, are disputed between nodes or lose their revocations. */
public class HomeChangeTests {

    private static final NodeId A0 = new NodeId("a0");
    private static final NodeId A1 = new NodeId("a1");
    private static final long WARM_UP_MS = 15_000;
    private static final long MAX_START_AFTER_REVOCATION_MS = 5_000;

    @DataProvider
    public Object[][] homeChanges() {
        return new Object[][] {
            {"single change", homeRule(announcement -> announcement.sequence() < 60 ? A0 : A1)},
            {
                "change with every announcement",
                homeRule(announcement -> announcement.sequence() % 2 == 0 ? A0 : A1)
            },
            {
                "every third announcement to another home",
                homeRule(announcement -> announcement.sequence() % 3 == 0 ? A0 : A1)
            },
            {
                "change every 3 s",
                homeRule(announcement -> announcement.sequence() / 6 % 2 == 0 ? A0 : A1)
            },
            {
                "change every 8 s",
                homeRule(announcement -> announcement.sequence() / 16 % 2 == 0 ? A0 : A1)
            },
        };
    }

    /** Gives a lambda expression in a data provider its type. */
    private static Function<EndpointAnnouncement, NodeId> homeRule(
            Function<EndpointAnnouncement, NodeId> homeRule) {
        return homeRule;
    }

    @Test(dataProvider = "homeChanges")
    public void changingHomesNeverExceedTheConcurrencyLimit(
            String name, Function<EndpointAnnouncement, NodeId> homeOf) {
        for (long seed = 0; seed < 5; seed++) {
            CreditSimulation simulation = new CreditSimulation(seed, 2);
            simulation.overrideHome(homeOf);
            simulation.run(60_000, false);
        }
    }

    @DataProvider
    public Object[][] partitionedGateways() {
        return new Object[][] {{List.of()}, {List.of("a2")}, {List.of("a2", "b0", "b1")}};
    }

    @Test(dataProvider = "partitionedGateways")
    public void killedHomeIsReplacedWithoutExceedingTheConcurrencyLimit(
            List<String> isolatedGateways) {
        for (long seed = 0; seed < 5; seed++) {
            CreditSimulation simulation = new CreditSimulation(seed, 2);
            simulation.overrideHome(announcement -> simulation.isRunning(A0) ? A0 : A1);
            simulation.run(WARM_UP_MS, false);
            isolatedGateways.forEach(gateway -> simulation.partition(gateway, "a1", 60_000));
            simulation.kill(A0, 60_000);
            simulation.run(2 * WARM_UP_MS, false);
            for (SimulatedEndpoint endpoint : simulation.endpoints()) {
                assertTrue(endpoint.lastStartMs() > simulation.nowMs() - 15_000, "seed " + seed);
            }
        }
    }

    @DataProvider
    public Object[][] revocationLoss() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "revocationLoss")
    public void leavingEndpointReceivesNoRequestsAfterTheLease(boolean revocationsLost) {
        CreditSimulation simulation = new CreditSimulation(3, 2);
        if (revocationsLost) {
            simulation.setDropFilter(PeerMessage::hasCreditRevocation);
        }
        simulation.run(WARM_UP_MS, false);
        SimulatedEndpoint endpoint = simulation.endpoints().get(0);
        assertTrue(endpoint.lastStartMs() > simulation.nowMs() - MAX_START_AFTER_REVOCATION_MS);
        long leavingMs = simulation.nowMs();
        simulation.makeLeaving(endpoint, 60_000);
        simulation.run(2 * MAX_START_AFTER_REVOCATION_MS, false);
        assertTrue(
                endpoint.lastStartMs() - leavingMs <= MAX_START_AFTER_REVOCATION_MS,
                "last start "
                        + (endpoint.lastStartMs() - leavingMs)
                        + " ms after the endpoint announced that it leaves");
    }

    @Test(dataProvider = "revocationLoss")
    public void drainedDataCentreReceivesNoRequestsAfterTheLease(boolean revocationsLost) {
        CreditSimulation simulation = new CreditSimulation(4, 2);
        if (revocationsLost) {
            simulation.setDropFilter(PeerMessage::hasCreditRevocation);
        }
        simulation.run(WARM_UP_MS, false);
        DataCentreId drainedDataCentre = new DataCentreId("perth-a");
        simulation.node("b1").directory().setDrained(drainedDataCentre, true);
        long drainedMs = simulation.nowMs();
        simulation.run(2 * MAX_START_AFTER_REVOCATION_MS, false);
        for (SimulatedEndpoint endpoint : simulation.endpoints()) {
            assertTrue(
                    endpoint.lastStartMs() - drainedMs <= MAX_START_AFTER_REVOCATION_MS,
                    "last start " + (endpoint.lastStartMs() - drainedMs) + " ms after the drain");
        }
    }

    @Test
    public void gatewaysWithoutCreditsDoNotFloodTheHomes() {
        CreditSimulation simulation = new CreditSimulation(6, 2);
        simulation.run(WARM_UP_MS, false);
        AtomicInteger demands = new AtomicInteger();
        simulation.setDropFilter(
                message -> {
                    demands.addAndGet(message.hasCreditDemand() ? 1 : 0);
                    return false;
                });
        simulation.run(WARM_UP_MS, false);
        long remoteGatewayHomePairs = 5 * 4;
        long regularDemands =
                remoteGatewayHomePairs
                        * WARM_UP_MS
                        / CreditPoolSettings.defaults().demandIntervalMs();
        assertTrue(
                demands.get() < 2 * regularDemands,
                demands + " demands, " + regularDemands + " expected at the regular interval");
    }

    @Test
    public void recordedRefusalTakesNoCredit() {
        CreditSimulation simulation = new CreditSimulation(7, 1);
        simulation.run(WARM_UP_MS, false);
        CreditPool pool = simulation.node("a0").pool();
        int inFlightBefore = pool.endpoints().get(0).inFlight();
        pool.recordRefusal(simulation.endpoints().get(0).id());
        assertEquals(pool.endpoints().get(0).inFlight(), inFlightBefore);
    }

    @Test
    public void limitBelowTheNumberOfGatewaysIsSharedByAll() {
        CreditSimulation simulation = new CreditSimulation(5, 1);
        simulation.endpoints().get(0).setConcurrencyLimit(1, EndpointState.COLD, 0);
        simulation.run(120_000, false);
        List<Integer> startCounts =
                simulation.nodes().stream().map(SimulatedNode::startCount).sorted().toList();
        assertEquals(startCounts.size(), 5);
        assertTrue(
                startCounts.get(0) * 4 >= startCounts.get(4),
                "start counts by gateway " + startCounts);
    }
}
