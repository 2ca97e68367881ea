package org.cardamomthread.daemon.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link EventStreamParser}. */
public class EventStreamParserTests {

    private static final int MAX_EVENT_BYTES = 64;

    @DataProvider
    public Object[][] streams() {
        return new Object[][] {
            {"data: one\n\ndata: two\n\n", List.of("one", "two")},
            {"data: one\r\n\r\n: comment\n\ndata:two\n\n", List.of("one", "two")},
            {"event: x\nid: 1\ndata: a\ndata: b\n\n", List.of("a\nb")},
            {"data: ç€𝄞\n\n", List.of("ç€𝄞")},
            {"data:\n\n", List.of("")},
            {"data: unfinished\n", List.of()},
            {"data: one\r\rdata: two\r\r: end", List.of("one", "two")},
            {"data: one\r\ndata: two\r\n\r\n", List.of("one\ntwo")},
            {"data: one\n\r\ndata: two\r\n\n", List.of("one", "two")},
            {"data: one\r\r\n\rdata: two\r\r\n", List.of("one", "two")},
            {"data: unfinished\r\n", List.of()},
            {"data: unfinished\r", List.of()},
            {"\n\n\n", List.of()},
        };
    }

    @Test(dataProvider = "streams")
    public void parsesTheSameEventsForAnyChunkSize(String stream, List<String> expected)
            throws MalformedResponseException {
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        for (int chunkSize = 1; chunkSize <= bytes.length; chunkSize++) {
            assertEquals(parse(bytes, chunkSize), expected, "chunks of " + chunkSize + " bytes");
        }
    }

    @Test
    public void rejectsAnEventLongerThanTheLimit() {
        EventStreamParser parser = new EventStreamParser(MAX_EVENT_BYTES);
        byte[] endless = "x".repeat(MAX_EVENT_BYTES + 1).getBytes(StandardCharsets.UTF_8);
        expectThrows(MalformedResponseException.class, () -> parser.feed(endless));
    }

    private static List<String> parse(byte[] bytes, int chunkSize)
            throws MalformedResponseException {
        EventStreamParser parser = new EventStreamParser(MAX_EVENT_BYTES);
        List<String> events = new ArrayList<>();
        for (int from = 0; from < bytes.length; from += chunkSize) {
            int to = Math.min(bytes.length, from + chunkSize);
            events.addAll(parser.feed(Arrays.copyOfRange(bytes, from, to)));
        }
        return events;
    }
}
