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

/** Tests credits while homes change, are disputed or lose what they push. */
public class HomeChangeTests {

    private static final NodeId A0 = new NodeId("a0");
    private static final NodeId A1 = new NodeId("a1");
    private static final long SETTLED_MS = 15_000;
    private static final long PROMISED_MS = 5_000;

    @DataProvider
    public Object[][] disputes() {
        return new Object[][] {
            {"one change", rule(announcement -> announcement.sequence() < 60 ? A0 : A1)},
            {
                "every announcement",
                rule(announcement -> announcement.sequence() % 2 == 0 ? A0 : A1)
            },
            {"every third", rule(announcement -> announcement.sequence() % 3 == 0 ? A0 : A1)},
            {"blocks of 3 s", rule(announcement -> announcement.sequence() / 6 % 2 == 0 ? A0 : A1)},
            {
                "blocks of 8 s",
                rule(announcement -> announcement.sequence() / 16 % 2 == 0 ? A0 : A1)
            },
        };
    }

    private static Function<EndpointAnnouncement, NodeId> rule(
            Function<EndpointAnnouncement, NodeId> rule) {
        return rule;
    }

    @Test(dataProvider = "disputes")
    public void twoHomesNeverLendMoreThanTheEndpointBears(
            String name, Function<EndpointAnnouncement, NodeId> homeOf) {
        for (long seed = 0; seed < 5; seed++) {
            CreditSimulation simulation = new CreditSimulation(seed, 2);
            simulation.forceHome(homeOf);
            simulation.run(60_000, false);
        }
    }

    @DataProvider
    public Object[][] cuts() {
        return new Object[][] {{List.of()}, {List.of("a2")}, {List.of("a2", "b0", "b1")}};
    }

    @Test(dataProvider = "cuts")
    public void killedHomeIsReplacedWithoutExcess(List<String> cutOffGateways) {
        for (long seed = 0; seed < 5; seed++) {
            CreditSimulation simulation = new CreditSimulation(seed, 2);
            simulation.forceHome(announcement -> simulation.isRunning(A0) ? A0 : A1);
            simulation.run(SETTLED_MS, false);
            cutOffGateways.forEach(gateway -> simulation.cut(gateway, "a1", 60_000));
            simulation.kill(A0, 60_000);
            simulation.run(2 * SETTLED_MS, false);
            for (SimulatedEndpoint endpoint : simulation.endpoints()) {
                assertTrue(endpoint.lastStartMs() > simulation.nowMs() - 15_000, "seed " + seed);
            }
        }
    }

    @DataProvider
    public Object[][] pushes() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "pushes")
    public void leavingEndpointGetsNoNewWorkAfterTheLease(boolean pushesLost) {
        CreditSimulation simulation = new CreditSimulation(3, 2);
        if (pushesLost) {
            simulation.drop(PeerMessage::hasCreditRevocation);
        }
        simulation.run(SETTLED_MS, false);
        SimulatedEndpoint endpoint = simulation.endpoints().get(0);
        assertTrue(endpoint.lastStartMs() > simulation.nowMs() - PROMISED_MS);
        long noticeMs = simulation.nowMs();
        simulation.turnLeaving(endpoint, 60_000);
        simulation.run(2 * PROMISED_MS, false);
        assertTrue(
                endpoint.lastStartMs() - noticeMs <= PROMISED_MS,
                "last start " + (endpoint.lastStartMs() - noticeMs) + " ms after the notice");
    }

    @Test(dataProvider = "pushes")
    public void drainedDataCentreGetsNoNewWorkAfterTheLease(boolean pushesLost) {
        CreditSimulation simulation = new CreditSimulation(4, 2);
        if (pushesLost) {
            simulation.drop(PeerMessage::hasCreditRevocation);
        }
        simulation.run(SETTLED_MS, false);
        DataCentreId drained = new DataCentreId("perth-a");
        simulation.node("b1").directory().setDrain(drained, true);
        long acceptedMs = simulation.nowMs();
        simulation.run(2 * PROMISED_MS, false);
        for (SimulatedEndpoint endpoint : simulation.endpoints()) {
            assertTrue(
                    endpoint.lastStartMs() - acceptedMs <= PROMISED_MS,
                    "last start " + (endpoint.lastStartMs() - acceptedMs) + " ms after the drain");
        }
    }

    @Test
    public void gatewaysWithoutCreditsDoNotFloodTheHomes() {
        CreditSimulation simulation = new CreditSimulation(6, 2);
        simulation.run(SETTLED_MS, false);
        AtomicInteger demands = new AtomicInteger();
        simulation.drop(
                message -> {
                    demands.addAndGet(message.hasCreditDemand() ? 1 : 0);
                    return false;
                });
        simulation.run(SETTLED_MS, false);
        long links = 5 * 4;
        long regular = links * SETTLED_MS / CreditPoolSettings.defaults().demandIntervalMs();
        assertTrue(demands.get() < 2 * regular, demands + " demands, " + regular + " regular");
    }

    @Test
    public void recordedShortageTakesNoCredit() {
        CreditSimulation simulation = new CreditSimulation(7, 1);
        simulation.run(SETTLED_MS, false);
        CreditPool pool = simulation.node("a0").pool();
        int before = pool.endpoints().get(0).inFlight();
        pool.recordShortage(simulation.endpoints().get(0).id());
        assertEquals(pool.endpoints().get(0).inFlight(), before);
    }

    @Test
    public void limitBelowTheNumberOfGatewaysReachesEachOfThem() {
        CreditSimulation simulation = new CreditSimulation(5, 1);
        simulation.endpoints().get(0).setBears(1, EndpointState.COLD, 0);
        simulation.run(120_000, false);
        List<Integer> starts =
                simulation.nodes().stream().map(SimulatedNode::starts).sorted().toList();
        assertEquals(starts.size(), 5);
        assertTrue(starts.get(0) * 4 >= starts.get(4), "starts by gateway " + starts);
    }
}
