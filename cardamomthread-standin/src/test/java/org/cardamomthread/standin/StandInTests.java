package org.cardamomthread.standin;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.standin.engine.AnswerText;
import org.cardamomthread.standin.http.HttpListener;
import org.cardamomthread.standin.http.Json;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the stand-ins through their HTTP interface on the loopback address. */
public class StandInTests {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final String CHAT = "/v1/chat/completions";
    private static final String PROMPT = "user:how much ice?\n";

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<AutoCloseable> opened = new ArrayList<>();
    private String base;

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        for (AutoCloseable closeable : opened) {
            closeable.close();
        }
        opened.clear();
    }

    @Test
    public void streamsAnswerToPrompt() throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        assertEquals(
                streamedText(send(CHAT, chat(40, true)).body()),
                AnswerText.completeAnswer(PROMPT, 40));
    }

    @Test
    public void sendsCompleteAnswerAndEchoesRequestId() throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        HttpResponse<String> response = send(CHAT, chat(5, false));
        assertEquals(response.headers().firstValue("X-Request-Id").orElse(""), "request-1");
        assertEquals(contentOf(response.body()), AnswerText.completeAnswer(PROMPT, 5));
    }

    @Test
    public void resumesAfterDeliveredTokens() throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        String body = chat(10, true).replace("}]", "}],\"resume\":{\"text\":\"\",\"tokens\":7}");
        String rest =
                AnswerText.completeAnswer(PROMPT, 10)
                        .substring(AnswerText.completeAnswer(PROMPT, 7).length());
        assertEquals(streamedText(send(CHAT, body).body()), rest);
    }

    @DataProvider
    public Object[][] interruptedAnswers() {
        return new Object[][] {
            {"silent", 1},
            {"reset-before-run", 0},
            {"reset-before-first-byte", 1},
            {"reset-after-first-byte", 1},
            {"truncated", 1},
        };
    }

    @Test(dataProvider = "interruptedAnswers")
    public void interruptsOnlyTheAnswerWithInjectedFault(String kind, int runs) throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        send("/v1/faults", "{\"kind\":\"" + kind + "\",\"count\":1}");
        assertThrows(IOException.class, () -> send(CHAT, chat(8, false), Duration.ofSeconds(1)));
        assertEquals(record().path("runs").size(), runs);
        assertEquals(
                contentOf(send(CHAT, chat(8, false)).body()), AnswerText.completeAnswer(PROMPT, 8));
    }

    @Test
    public void omitsEndMarkerFromTruncatedStream() throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        send("/v1/faults", "{\"kind\":\"truncated\",\"count\":1}");
        String events = send(CHAT, chat(8, true)).body();
        assertFalse(events.contains("[DONE]"));
        assertTrue(AnswerText.completeAnswer(PROMPT, 8).startsWith(streamedText(events)));
    }

    @Test
    public void sendsAnswerOfAnotherRequest() throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        send("/v1/faults", "{\"kind\":\"crossed\",\"count\":1}");
        HttpResponse<String> response = send(CHAT, chat(8, false));
        assertNotEquals(response.headers().firstValue("X-Request-Id").orElse(""), "request-1");
        assertNotEquals(contentOf(response.body()), AnswerText.completeAnswer(PROMPT, 8));
    }

    @DataProvider
    public Object[][] faultFilters() {
        return new Object[][] {
            {"\"version\":\"v1\"", 500}, {"\"version\":\"v2\"", 200},
            {"\"path\":\"/v1/chat\"", 500}, {"\"path\":\"/v1/completions\"", 200},
            {"\"minRunning\":1", 200}, {"\"startAfterMs\":60000", 200},
        };
    }

    @Test(dataProvider = "faultFilters")
    public void failsOnlyRequestsThatMatchFault(String filter, int status) throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        send("/v1/faults", "{\"kind\":\"fail\"," + filter + "}");
        assertEquals(send(CHAT, chat(2, false)).statusCode(), status);
    }

    @Test
    public void failsAllRequestsWhenOverloadedWhileCold() throws Exception {
        start("engine", "--services", "chat=v1", "--cold-ms", "60000", "--decode", "10");
        CompletableFuture<HttpResponse<String>> first = sendLater("a", chat(100, true));
        CompletableFuture<HttpResponse<String>> second = sendLater("b", chat(100, true));
        while (record().path("running").asInt() < 2) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        assertEquals(send(CHAT, chat(1, false)).statusCode(), 500);
        assertThrows(Exception.class, () -> first.get(10, TimeUnit.SECONDS));
        assertThrows(Exception.class, () -> second.get(10, TimeUnit.SECONDS));
        assertEquals(record().path("coldOverloads").asInt(), 1);
        assertEquals(record().path("peakRunning").asInt(), 2);
    }

    @Test
    public void skipsComputationOfCachedPrefix() throws Exception {
        start("engine", "--services", "chat=v1", "--decode", "5000");
        String body = chat(1, false).replace("how much", "how much ".repeat(100));
        send(CHAT, body);
        long first = record().path("computedTokens").asLong();
        send(CHAT, body);
        assertTrue(record().path("computedTokens").asLong() - first < first / 4);
    }

    @DataProvider
    public Object[][] fencing() {
        return new Object[][] {{"fencing", 409, 1}, {"resume", 200, 2}};
    }

    @Test(dataProvider = "fencing")
    public void rejectsOrdersWithLowerFencingNumberOnlyWithFencing(
            String capability, int status, int executedOrders) throws Exception {
        start("engine", "--services", "chat=v1", "--capabilities", capability);
        String order = "{\"orderId\":\"%s\",\"fencingNumber\":%d,\"type\":\"change-role\"}";
        assertEquals(send("/v1/orders", String.format(order, "a", 7)).statusCode(), 200);
        assertEquals(send("/v1/orders", String.format(order, "a", 7)).statusCode(), 200);
        assertEquals(send("/v1/orders", String.format(order, "b", 6)).statusCode(), status);
        assertEquals(get("/v1/state").path("orders").size(), executedOrders);
    }

    @Test
    public void recordsEveryRunWithSameIdempotencyKey() throws Exception {
        start("service", "--services", "bookings=v1");
        send("/bookings", "{}");
        send("/bookings", "{}");
        assertEquals(record().path("runsByKey").path("key-1").asInt(), 2);
    }

    @Test
    public void refusesHostStartsAndLimitsTransfers() throws Exception {
        start("platform", "--transfers", "1");
        send("/v1/refusals", "{\"count\":1}");
        String host = "{\"endpointClass\":\"small\",\"dataCentre\":\"a\",\"priceClass\":\"x\"}";
        assertEquals(send("/v1/hosts", host).statusCode(), 503);
        assertEquals(send("/v1/hosts", host).statusCode(), 201);
        assertEquals(get("/v1/hosts").size(), 1);
        assertEquals(send("/v1/weights/m/transfers", "{}").statusCode(), 200);
        assertEquals(send("/v1/weights/m/transfers", "{}").statusCode(), 429);
        send("/v1/notices", "{\"hostId\":\"host-1\",\"reclaimAtMs\":5}");
        assertEquals(get("/v1/notices?after=0").get(0).path("sequence").asInt(), 1);
        assertEquals(get("/v1/notices?after=1").size(), 0);
    }

    @Test
    public void announcesToNextNodeAfterFailure() throws Exception {
        LinkedBlockingQueue<JsonNode> announced = new LinkedBlockingQueue<>();
        HttpListener node =
                new HttpListener(
                        new InetSocketAddress("127.0.0.1", 0),
                        exchange -> {
                            announced.add(Json.read(exchange.body()));
                            exchange.reply(200, Json.object());
                        });
        opened.add(node);
        String nodes = "127.0.0.1:1,127.0.0.1:" + node.address().getPort();
        start("engine", "--services", "chat=v1+v2", "--nodes", nodes, "--id", "runner-1");
        JsonNode first = announced.poll(10, TimeUnit.SECONDS);
        assertEquals(first.path("endpointId").asText(), "runner-1");
        assertEquals(first.path("services").size(), 2);
        assertEquals(first.path("state").asText(), "ready");
        send("/v1/faults", "{\"kind\":\"leaving\"}");
        JsonNode latest = announced.poll(10, TimeUnit.SECONDS);
        while (!latest.path("state").asText().equals("leaving")) {
            latest = announced.poll(10, TimeUnit.SECONDS);
        }
        assertTrue(latest.path("sequence").asLong() > first.path("sequence").asLong());
    }

    private void start(String... arguments) throws Exception {
        StandIn standIn = StandIn.start(arguments);
        opened.add(standIn);
        base = "http://127.0.0.1:" + standIn.address().getPort();
    }

    private JsonNode record() throws Exception {
        return get("/v1/record");
    }

    private JsonNode get(String path) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create(base + path)).build();
        return MAPPER.readTree(client.send(request, HttpResponse.BodyHandlers.ofString()).body());
    }

    private HttpResponse<String> send(String path, String body) throws Exception {
        return send(path, body, TIMEOUT);
    }

    private HttpResponse<String> send(String path, String body, Duration timeout) throws Exception {
        return client.send(
                post(path, "request-1", body, timeout), HttpResponse.BodyHandlers.ofString());
    }

    private CompletableFuture<HttpResponse<String>> sendLater(String id, String body) {
        return client.sendAsync(
                post(CHAT, id, body, TIMEOUT), HttpResponse.BodyHandlers.ofString());
    }

    private HttpRequest post(String path, String id, String body, Duration timeout) {
        return HttpRequest.newBuilder(URI.create(base + path))
                .timeout(timeout)
                .header("X-Request-Id", id)
                .header("X-Version", path.equals(CHAT) ? "v1" : "")
                .header("Idempotency-Key", "key-1")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static String chat(int tokens, boolean isStreamed) {
        return String.format(
                "{\"model\":\"chat\",\"max_tokens\":%d,\"stream\":%b,"
                        + "\"messages\":[{\"role\":\"user\",\"content\":\"how much ice?\"}]}",
                tokens, isStreamed);
    }

    private static String contentOf(String body) throws IOException {
        return MAPPER.readTree(body).at("/choices/0/message/content").asText();
    }

    private static String streamedText(String events) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : events.split("\n")) {
            if (line.startsWith("data: {")) {
                JsonNode chunk = MAPPER.readTree(line.substring("data: ".length()));
                text.append(chunk.at("/choices/0/delta/content").asText());
            }
        }
        return text.toString();
    }
}
