package org.cardamomthread.processes.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.processes.Waits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests node processes that join through seed addresses, with stand-ins for endpoints. */
@Test(groups = "processes")
public class FleetTests {

    private static final long REVOCATION_MS = 5_000;
    private static final int NO_RESPONSE = -1;

    private Fleet fleet;
    private final List<RunnerStandIn> runners = new ArrayList<>();

    @BeforeMethod
    public void startFleet() throws Exception {
        fleet = new Fleet();
        for (int i = 0; i < 2; i++) {
            runners.add(new RunnerStandIn("runner-" + i, fleet.controlAddresses(), false));
        }
        fleet.start(TrafficDocuments.create(3, Fleet.ACCOUNT_KEY));
        for (int i = 0; i < Fleet.GATEWAYS; i++) {
            awaitServed(i, Fleet.ACCOUNT_KEY);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void stopFleet() throws Exception {
        runners.forEach(RunnerStandIn::close);
        runners.clear();
        fleet.close();
    }

    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"/again/x", Fleet.ACCOUNT_KEY, 200},
            {"/once/x", Fleet.ACCOUNT_KEY, 200},
            {"/stream/once/x", Fleet.ACCOUNT_KEY, 200},
            {"/stream/resumed/x", Fleet.ACCOUNT_KEY, 200},
            {"/none/x", Fleet.ACCOUNT_KEY, 404},
            {"/again/x", "another key", 401},
        };
    }

    @Test
    public void selectsResponseByRouteAndKey() throws Exception {
        for (Object[] row : requests()) {
            for (int i = 0; i < Fleet.GATEWAYS; i++) {
                String id = newId();
                HttpResponse<String> response = fleet.call(i, (String) row[0], id, (String) row[1]);
                assertEquals(response.statusCode(), row[2], row[0] + ": " + response.body());
                if (response.statusCode() == 200) {
                    String expected =
                            ((String) row[0]).startsWith("/stream/")
                                    ? RunnerStandIn.expectedStream(id)
                                    : RunnerStandIn.expectedBody(id);
                    assertEquals(response.body(), expected);
                }
            }
        }
    }

    @Test
    public void keepsNewestDocumentAfterLossOfLeaderAndDisk() throws Exception {
        int leader = fleet.leader();
        fleet.replaceDocument(TrafficDocuments.create(8, Fleet.ACCOUNT_KEY));
        fleet.control(leader).kill();
        fleet.wipe(leader);
        awaitDocumentVersion(8, (leader + 1) % Fleet.CONTROL_NODES);
        fleet.replaceDocument(TrafficDocuments.create(9, Fleet.ACCOUNT_KEY));
        fleet.startControl(leader, false);
        Waits.until(
                30_000,
                "the wiped node becoming a voter again",
                () -> fleet.metrics(Fleet.controlIp(leader)).body().contains("_votes 1.0"));
        int second = (leader + 1) % Fleet.CONTROL_NODES;
        fleet.control(second).kill();
        awaitDocumentVersion(9, leader);
        fleet.startControl(second, false);
        awaitServed(0, Fleet.ACCOUNT_KEY);
    }

    @Test
    public void rejectsRevokedKeyWhileDisconnected() throws Exception {
        for (int i = 0; i < Fleet.GATEWAYS; i++) {
            fleet.gateway(i).suspend();
        }
        fleet.replaceDocument(TrafficDocuments.create(12, "new key"));
        for (int i = 0; i < Fleet.CONTROL_NODES; i++) {
            fleet.control(i).suspend();
        }
        Thread.sleep(REVOCATION_MS);
        for (int i = 0; i < Fleet.GATEWAYS; i++) {
            fleet.gateway(i).resume();
            String id = newId();
            assertFalse(fleet.call(i, "/again/x", id, Fleet.ACCOUNT_KEY).statusCode() == 200);
            assertFalse(hasRun(id), fleet.logs());
        }
        for (int i = 0; i < Fleet.CONTROL_NODES; i++) {
            fleet.control(i).resume();
        }
        awaitServed(0, "new key");
    }

    @Test
    public void completesStreamsDuringGatewayShutdown() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            String id = newId();
            ids.add(id);
            responses.add(
                    CompletableFuture.supplyAsync(
                            () -> {
                                try {
                                    return fleet.call(0, "/stream/once/x", id, Fleet.ACCOUNT_KEY);
                                } catch (Exception e) {
                                    throw new IllegalStateException(e);
                                }
                            }));
        }
        Thread.sleep(300);
        fleet.gateway(0).terminate();
        for (int i = 0; i < ids.size(); i++) {
            String expected = RunnerStandIn.expectedStream(ids.get(i));
            assertEquals(responses.get(i).get().body(), expected);
        }
        assertEquals(fleet.gateway(0).awaitExit(10_000), 0);
    }

    @DataProvider
    public Object[][] endlessResponses() {
        return new Object[][] {{"/once/endless"}, {"/again/endless"}, {"/stream/once/endless"}};
    }

    @Test(dataProvider = "endlessResponses")
    public void survivesEndpointsThatSendBytesWithoutEnd(String path) throws Exception {
        int calls = 4;
        List<CompletableFuture<Integer>> outcomes = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            outcomes.add(CompletableFuture.supplyAsync(() -> readStatusOfCompleteResponse(path)));
        }
        for (CompletableFuture<Integer> outcome : outcomes) {
            assertEquals((int) outcome.get(), path.startsWith("/again/") ? 502 : NO_RESPONSE);
        }
        Waits.until(
                5_000,
                "the end of the connections to the endpoints",
                () -> runners.stream().mapToInt(RunnerStandIn::disconnects).sum() >= calls);
        awaitServed(0, Fleet.ACCOUNT_KEY);
        assertFalse(fleet.gateway(0).log().contains("OutOfMemoryError"));
    }

    /** Returns the status of a call, or {@link #NO_RESPONSE} if its response is cut off. */
    private int readStatusOfCompleteResponse(String path) {
        try {
            return fleet.callWithoutBody(0, path, newId(), Fleet.ACCOUNT_KEY).statusCode();
        } catch (IOException cutOff) {
            return NO_RESPONSE;
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    public void logsValidSettingsReload() throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(fleet.gateway(0).pid())).start().waitFor();
        Waits.until(
                5_000,
                "the log line of the reload",
                () -> fleet.gateway(0).log().contains("settings-reloaded"));
        awaitServed(0, Fleet.ACCOUNT_KEY);
    }

    private void awaitDocumentVersion(long version, int index) throws Exception {
        Waits.until(
                15_000,
                "a read of the document",
                () -> fleet.control(index, "GET", "/Config.Read", "").statusCode() == 200);
        String document = fleet.control(index, "GET", "/Config.Read", "").body();
        assertTrue(document.contains("\"version\":" + version + ","), document);
    }

    private void awaitServed(int gateway, String key) throws Exception {
        Waits.until(
                20_000,
                "a response through gateway " + gateway,
                () -> fleet.call(gateway, "/again/x", newId(), key).statusCode() == 200);
    }

    private boolean hasRun(String requestId) {
        return runners.stream().anyMatch(runner -> runner.runs().containsKey(requestId));
    }

    private static String newId() {
        return UUID.randomUUID().toString();
    }
}
