package org.cardamomthread.processes.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.cardamomthread.processes.ManagedProcess;
import org.cardamomthread.processes.Waits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that a process survives clients that observe no limits, and still answers ordinary ones.
 *
 * <p>Guards against processes that ended, or neither answered nor stopped, because of what such
 * clients made them hold. The processes have the memory options of the deployments. The timeouts
 * only end a test that would otherwise never end.
 */
@Test(groups = "processes", singleThreaded = true)
public class UnboundedClientTests {

    private static final String GATEWAY = "gateway";
    private static final String CONTROL = "control";
    private static final List<String> MEMORY_OPTIONS =
            List.of(
                    "-Xmx56m",
                    "-Xss256k",
                    "-XX:-UsePerfData",
                    "-Dio.netty.allocator.type=unpooled");

    /** Less than the smallest memory of a host, 290 MB. */
    private static final long MAX_RESIDENT_KB = 256 * 1024;

    /** The limit of 3,000 connections per listener, and 200 for everything else. */
    private static final long MAX_DESCRIPTORS = 3_200;

    private static final long ANSWER_TIMEOUT_MS = 30_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
    private static final int LARGE_CHUNK_BYTES = 64 * 1024;
    private static final int LEGAL_HEADER_LINES = 55;
    private static final int LEGAL_HEADER_LINE_BYTES = 1_000;

    private static final String GET = "GET /metrics HTTP/1.1\r\n";
    private static final String POST = "POST /again/x HTTP/1.1\r\n";
    private static final String CHUNKED = POST + "transfer-encoding: chunked\r\n\r\n";

    /** What each connection of a crowd sends; shown by its length in reports. */
    private record Payload(String text) {
        @Override
        public String toString() {
            return text.length() + " bytes";
        }
    }

    private static final Payload SHORT_LINES = new Payload(GET + "a:\r\n".repeat(4_000));
    private static final Payload MALFORMED_LINES = new Payload(GET + "b\r\n".repeat(5_000));
    private static final Payload FOLDED_LINES =
            new Payload(GET + "a: b\r\n" + " c\r\n".repeat(4_000));
    private static final Payload HEAD_OVER_THE_LIMIT =
            new Payload(GET + "a:" + "x".repeat(1_000_000));
    private static final Payload HEAD_WITHOUT_END = new Payload(GET + "a:" + "x".repeat(63_000));
    private static final Payload EMPTY_LINES = new Payload("\r\n".repeat(2_000_000));
    private static final Payload LARGE_CHUNKS =
            new Payload(
                    CHUNKED
                            + (Integer.toHexString(LARGE_CHUNK_BYTES)
                                            + "\r\n"
                                            + "x".repeat(LARGE_CHUNK_BYTES)
                                            + "\r\n")
                                    .repeat(127));
    private static final Payload TINY_CHUNKS = new Payload(CHUNKED + "1\r\nx\r\n".repeat(15_000));
    private static final Payload BODY_ONE_BYTE_SHORT =
            new Payload(
                    POST
                            + "content-length: "
                            + MAX_BODY_BYTES
                            + "\r\n\r\n"
                            + "x".repeat(MAX_BODY_BYTES - 1));
    private static final Payload TRAILERS = new Payload(CHUNKED + "0\r\n" + "a:\r\n".repeat(4_000));
    private static final Payload NOTHING = new Payload("");
    private static final Payload UNREAD_REQUESTS = new Payload((GET + "\r\n").repeat(2_000));
    private static final Payload PIPELINED_HEADS =
            new Payload((SHORT_LINES.text() + "\r\n").repeat(600));

    private StartingNode node;
    private ClientCrowd crowd;

    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
        if (crowd != null) {
            crowd.close();
        }
        if (node != null) {
            node.close();
        }
    }

    @DataProvider
    public Object[][] crowds() {
        return new Object[][] {
            {"short lines", GATEWAY, "callers", 200, SHORT_LINES},
            {"malformed lines", GATEWAY, "callers", 200, MALFORMED_LINES},
            {"folded lines", GATEWAY, "callers", 200, FOLDED_LINES},
            {"head over the limit", GATEWAY, "callers", 200, HEAD_OVER_THE_LIMIT},
            {"head without end", GATEWAY, "callers", 2_000, HEAD_WITHOUT_END},
            {"empty lines", GATEWAY, "callers", 100, EMPTY_LINES},
            {"large chunks", GATEWAY, "callers", 120, LARGE_CHUNKS},
            {"tiny chunks", GATEWAY, "callers", 200, TINY_CHUNKS},
            {"bodies one byte short", GATEWAY, "callers", 120, BODY_ONE_BYTE_SHORT},
            {"trailers", GATEWAY, "callers", 200, TRAILERS},
            {"nothing sent", GATEWAY, "callers", 3_100, NOTHING},
            {"responses not read", GATEWAY, "metrics", 200, UNREAD_REQUESTS},
            {"pipelined", GATEWAY, "metrics", 20, PIPELINED_HEADS},
            {"short lines", GATEWAY, "metrics", 200, SHORT_LINES},
            {"tiny chunks", GATEWAY, "readiness", 200, TINY_CHUNKS},
            {"short lines", CONTROL, "control", 200, SHORT_LINES},
            {"large chunks", CONTROL, "control", 120, LARGE_CHUNKS},
            {"tiny chunks", CONTROL, "control", 200, TINY_CHUNKS},
            {"bodies one byte short", CONTROL, "control", 120, BODY_ONE_BYTE_SHORT},
            {"nothing sent", CONTROL, "control", 3_100, NOTHING},
        };
    }

    @Test(dataProvider = "crowds")
    public void answersOrdinaryClientsBesideACrowd(
            String kind, String role, String listener, int count, Payload payload)
            throws Exception {
        node = new StartingNode(role);
        ManagedProcess process = node.start(MEMORY_OPTIONS);
        node.awaitStarted();
        InetSocketAddress address = new InetSocketAddress(node.ip(), node.port(listener));
        crowd = new ClientCrowd(address, count);
        crowd.send(payload.text().getBytes(StandardCharsets.US_ASCII));
        process.requireRunning();
        assertMemoryAndDescriptors(process);
        awaitAnswer(listener);
        awaitAnswer("metrics");
        process.requireRunning();
        assertMemoryAndDescriptors(process);
        assertFalse(process.log().contains("OutOfMemoryError"), lastLines(process));
        process.terminate();
        process.awaitExit(ANSWER_TIMEOUT_MS);
    }

    /** Guards against limits that legal clients meet; a gateway without a view refuses with 503. */
    @Test
    public void takesTheLargestLegalRequest() throws Exception {
        node = new StartingNode(GATEWAY);
        node.start(MEMORY_OPTIONS);
        node.awaitStarted();
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + node.ip()
                                                + ":"
                                                + node.port("callers")
                                                + "/again/x"))
                        .timeout(Duration.ofMillis(ANSWER_TIMEOUT_MS))
                        .header("X-Cardamomthread-Attempt-Id", "largest")
                        .header("X-Cardamomthread-Deadline-Ms", "30000")
                        .header("Authorization", "Bearer key")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(new byte[MAX_BODY_BYTES]));
        for (int i = 0; i < LEGAL_HEADER_LINES; i++) {
            request.header("x-line-" + i, "x".repeat(LEGAL_HEADER_LINE_BYTES));
        }
        HttpResponse<String> response =
                HttpClient.newHttpClient()
                        .send(request.build(), HttpResponse.BodyHandlers.ofString());
        assertEquals(response.statusCode(), 503, response.body());
        assertTrue(response.body().contains("view"), response.body());
    }

    /** Waits for any response to an ordinary request; the metrics are always served. */
    private void awaitAnswer(String listener) throws Exception {
        HttpClient client = HttpClient.newBuilder().connectTimeout(CALL_TIMEOUT).build();
        URI target = URI.create("http://" + node.ip() + ":" + node.port(listener) + "/metrics");
        HttpRequest request = HttpRequest.newBuilder(target).timeout(CALL_TIMEOUT).build();
        Waits.until(
                ANSWER_TIMEOUT_MS,
                "a response of the listener " + listener,
                () -> {
                    int status =
                            client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
                    return !listener.equals("metrics") || status == 200;
                });
    }

    private static void assertMemoryAndDescriptors(ManagedProcess process) throws IOException {
        Path folder = Path.of("/proc", Long.toString(process.pid()));
        long residentKb =
                Files.readAllLines(folder.resolve("status")).stream()
                        .filter(line -> line.startsWith("VmRSS:"))
                        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                        .findFirst()
                        .orElseThrow();
        assertTrue(residentKb < MAX_RESIDENT_KB, residentKb + " KB are resident");
        try (Stream<Path> descriptors = Files.list(folder.resolve("fd"))) {
            long count = descriptors.count();
            assertTrue(count < MAX_DESCRIPTORS, count + " descriptors are open");
        }
    }

    private static String lastLines(ManagedProcess process) throws IOException {
        String log = process.log();
        return log.substring(Math.max(0, log.length() - 2_000));
    }
}
