package org.cardamomthread.command.logs;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link RequestTimeline}. */
public class RequestTimelineTests {

    private static final long BASE_MS = 1_780_000_000_000L;

    private Path gateway;
    private Path controlNode;

    @BeforeMethod
    public void createFiles() throws IOException {
        Path folder = Files.createTempDirectory("logs");
        gateway = folder.resolve("edge-1.log");
        controlNode = folder.resolve("core-1.log");
        Files.writeString(gateway, "");
        Files.writeString(controlNode, "");
    }

    /**
     * The removal is logged by another node whose clock is behind, so its timestamp precedes the
     * failed attempt.
     */
    @Test
    public void includesEndpointRemovalFromAnotherNodesLog() throws IOException {
        write(gateway, 0, "view-changed", Map.of("revision", "7"));
        write(gateway, 1_000, "attempt-failed", Map.of("request", "r1", "endpoint", "e9"));
        write(gateway, 1_001, "request-failed", Map.of("request", "r1", "endpoints", "[e9, e4]"));
        write(controlNode, 900, "endpoint-gone", Map.of("endpoint", "e9"));
        write(controlNode, 910, "endpoint-gone", Map.of("endpoint", "e1"));
        assertEquals(
                events("r1"),
                List.of("view-changed", "endpoint-gone", "attempt-failed", "request-failed"));
    }

    @Test
    public void includesLatestViewChangeBeforeRequest() throws IOException {
        write(gateway, 0, "view-changed", Map.of("revision", "6"));
        write(gateway, 10, "view-changed", Map.of("revision", "7"));
        write(gateway, 20, "request-refused", Map.of("request", "r1"));
        write(gateway, 30, "view-changed", Map.of("revision", "8"));
        RequestTimeline timeline = RequestTimeline.collect("r1", List.of(gateway, controlNode));
        assertEquals(timeline.lines().get(0).fields().get("revision"), "7");
        assertEquals(timeline.lines().size(), 2);
    }

    @DataProvider
    public Object[][] timeOffsets() {
        return new Object[][] {{-6_000, false}, {-4_000, true}, {4_000, true}, {6_000, false}};
    }

    @Test(dataProvider = "timeOffsets")
    public void includesNodeEventsOnlyWithinContextWindow(int afterMs, boolean isShown)
            throws IOException {
        write(gateway, 10_000, "request-failed", Map.of("request", "r1"));
        write(gateway, 10_000 + afterMs, "node-stopping", Map.of("node", "edge-1"));
        write(controlNode, 10_000 + afterMs, "node-stopping", Map.of("node", "core-1"));
        assertEquals(events("r1").size(), isShown ? 2 : 1);
    }

    @DataProvider
    public Object[][] unreadableLines() {
        return new Object[][] {
            {"{\"timestamp\":17800000"},
            {"# A fatal error has been detected"},
            {"[1, 2]"},
            {"{\"timestamp\":\"yesterday\"}"},
            {"null"},
        };
    }

    @Test(dataProvider = "unreadableLines")
    public void skipsAndCountsUnreadableLines(String bad) throws IOException {
        Files.writeString(gateway, bad + "\n\n");
        write(gateway, 0, "request-answered", Map.of("request", "r1"));
        RequestTimeline timeline = RequestTimeline.collect("r1", List.of(gateway));
        assertEquals(timeline.lines().size(), 1);
        assertEquals(timeline.unreadableLineCount(), 1);
    }

    @Test
    public void isEmptyForUnknownRequest() throws IOException {
        write(gateway, 0, "request-answered", Map.of("request", "r1"));
        assertTrue(RequestTimeline.collect("r2", List.of(gateway)).lines().isEmpty());
    }

    private List<String> events(String request) throws IOException {
        return RequestTimeline.collect(request, List.of(gateway, controlNode)).lines().stream()
                .map(LogLine::event)
                .toList();
    }

    private static void write(Path file, long afterMs, String event, Map<String, String> fields)
            throws IOException {
        StringBuilder pairs = new StringBuilder("{\"event\":\"" + event + "\"}");
        fields.forEach(
                (name, value) ->
                        pairs.append(",{\"")
                                .append(name)
                                .append("\":\"")
                                .append(value)
                                .append("\"}"));
        String line =
                "{\"timestamp\":%d,\"kvpList\": [%s],\"formattedMessage\":\"%s\"}%n"
                        .formatted(BASE_MS + afterMs, pairs, event);
        Files.writeString(file, Files.readString(file) + line);
    }
}
