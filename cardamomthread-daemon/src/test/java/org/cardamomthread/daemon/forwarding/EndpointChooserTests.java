package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.cardamomthread.configuration.document.NetworkAddress;
import org.cardamomthread.configuration.traffic.Repeatability;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.WeightedService;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.dialect.EndpointReport;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.ViewedEndpoint;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EndpointChooser} with prompts. */
public class EndpointChooserTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final int ENDPOINTS = 6;
    private static final double MS_PER_TOKEN = 0.02;

    private ManualTimeSource time;
    private EndpointTable table;
    private EndpointChooser chooser;

    @BeforeMethod
    public void setUp() {
        time = new ManualTimeSource();
        time.advanceMs(10_000);
        table = createTable();
        table.follow(view(false));
        chooser = createChooser(table, 1);
    }

    @Test
    public void returnsToTheEndpointThatHoldsThePrompt() {
        EndpointState first = choose("shared").state();
        first.cache().use(prompt("shared"), time.monotonicMs());
        EndpointChoice next = choose("shared");
        assertEquals(next.state().id(), first.id());
        assertTrue(next.isCacheKnown());
        assertEquals(next.tokensToRead(), 0.0);
    }

    @Test
    public void forgetsWhatAnEndpointHeldLongAgo() {
        EndpointState first = choose("shared").state();
        first.cache().use(prompt("shared"), time.monotonicMs());
        time.advanceMs(60_000);
        assertFalse(choose("shared").isCacheKnown());
    }

    /** Long prompts that wait count more than the number of requests. */
    @Test
    public void avoidsTheEndpointWhereLongPromptsWait() {
        EndpointState holder = choose("shared").state();
        holder.cache().use(prompt("shared"), time.monotonicMs());
        holder.begin(60_000);
        assertNotEquals(choose("shared").state().id(), holder.id());
        holder.finishPrompt(60_000);
        assertEquals(choose("shared").state().id(), holder.id());
    }

    @Test
    public void avoidsTheEndpointThatAnsweredLaterThanExpectedForAWhile() {
        EndpointState holder = choose("shared").state();
        holder.cache().use(prompt("shared"), time.monotonicMs());
        holder.recordDelay(2_000, time.monotonicMs());
        assertNotEquals(choose("shared").state().id(), holder.id());
        time.advanceMs(3_000);
        assertEquals(choose("shared").state().id(), holder.id());
    }

    @DataProvider
    public Object[][] sharedParts() {
        return new Object[][] {{"a"}, {"b"}, {"c"}, {"d"}, {"e"}};
    }

    /** Gateways know nothing of each other, and should still read a common part only once. */
    @Test(dataProvider = "sharedParts")
    public void gatewaysBeginAtTheSameEndpoint(String shared) {
        Set<EndpointId> chosen = new HashSet<>();
        for (int gateway = 0; gateway < 10; gateway++) {
            EndpointTable own = createTable();
            own.follow(view(false));
            chosen.add(
                    createChooser(own, gateway)
                            .choose(request(shared), Set.of())
                            .orElseThrow()
                            .state()
                            .id());
        }
        assertEquals(chosen.size(), 1);
    }

    @Test
    public void spreadsPromptsThatShareNothing() {
        Map<EndpointId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            EndpointChoice choice = choose("part" + i);
            choice.state().begin(choice.tokensToRead());
            counts.merge(choice.state().id(), 1, Integer::sum);
        }
        assertEquals(counts.size(), ENDPOINTS);
        assertTrue(counts.values().stream().allMatch(count -> count <= 20), counts.toString());
    }

    @Test
    public void neverChoosesAnEndpointThatLeaves() {
        table.follow(view(true));
        assertTrue(chooser.choose(request("shared"), Set.of()).isEmpty());
    }

    @Test
    public void countsOnlyTheLeadingPartsAsHeld() {
        PromptCache cache = new PromptCache();
        cache.use(List.of(new PromptPart("b", 50)), 0);
        List<PromptPart> prompt =
                List.of(new PromptPart("a", 100), new PromptPart("b", 50), new PromptPart("c", 9));
        assertEquals(cache.countHeld(prompt, 0), 0);
        cache.use(prompt.subList(0, 2), 0);
        assertEquals(cache.countHeld(prompt, 0), 150);
    }

    @Test
    public void boundsWhatItRemembersOfAnEndpoint() {
        PromptCache cache = new PromptCache();
        for (int i = 0; i < 10_000; i++) {
            cache.use(List.of(new PromptPart("p" + i, 10)), 0);
        }
        assertEquals(cache.countHeld(List.of(new PromptPart("p0", 10)), 0), 0);
        assertEquals(cache.countHeld(List.of(new PromptPart("p9999", 10)), 0), 10);
    }

    @Test
    public void measuresTheSpeedOfReadingFromLongPromptsOnly() {
        PromptSpeeds speeds = new PromptSpeeds();
        speeds.record(CHAT, 100, 500);
        assertEquals(speeds.msPerToken(CHAT), MS_PER_TOKEN);
        speeds.record(CHAT, 10_000, 100);
        speeds.record(CHAT, 10_000, 900);
        assertEquals(speeds.msPerToken(CHAT), 0.01, 0.001);
    }

    private EndpointChoice choose(String shared) {
        return chooser.choose(request(shared), Set.of()).orElseThrow();
    }

    private EndpointTable createTable() {
        return new EndpointTable(
                new ForwardingLog(new DecisionLog(time), new ViewLease(time, 1_000)));
    }

    private EndpointChooser createChooser(EndpointTable endpoints, long seed) {
        return new EndpointChooser(endpoints, new PromptSpeeds(), time, new SplittableRandom(seed));
    }

    private static List<PromptPart> prompt(String shared) {
        return List.of(new PromptPart("system", 800), new PromptPart(shared, 4_000), own(shared));
    }

    private static PromptPart own(String shared) {
        return new PromptPart("own-" + shared, 200);
    }

    private AdmittedRequest request(String shared) {
        RequestHead head =
                new RequestHead(
                        new RequestId("r"),
                        OptionalLong.empty(),
                        OptionalLong.of(6_000),
                        5_000,
                        prompt(shared));
        return new AdmittedRequest(
                head, view(false), route(), service(), Optional.empty(), 0, 0, 5_000);
    }

    private static TrafficService service() {
        return new TrafficService(CHAT, "/h", 10, 0, true, Optional.empty());
    }

    private static TrafficRoute route() {
        return new TrafficRoute(
                new RouteId("r"),
                "ice.example",
                "/a/",
                Repeatability.STREAM,
                5_000,
                100,
                100,
                1,
                List.of(new WeightedService(CHAT, 1)),
                1,
                true);
    }

    private static GatewayView view(boolean isLeaving) {
        Map<EndpointId, ViewedEndpoint> endpoints = new HashMap<>();
        for (int i = 1; i <= ENDPOINTS; i++) {
            EndpointReport report =
                    new EndpointReport(
                            new EndpointId("e" + i),
                            1,
                            1,
                            CHAT,
                            NetworkAddress.parse("10.0.0." + i + ":80"),
                            new DataCentreId("perth-a"),
                            new VersionId("v1"),
                            64,
                            isLeaving,
                            0,
                            false);
            endpoints.put(report.id(), new ViewedEndpoint(report, 0));
        }
        TrafficDocument document =
                new TrafficDocument(1, List.of(route()), List.of(service()), List.of());
        return new GatewayView(
                1,
                Optional.of(new RouteTable(document)),
                Set.of(),
                Map.of(),
                endpoints,
                1,
                Map.of());
    }
}
