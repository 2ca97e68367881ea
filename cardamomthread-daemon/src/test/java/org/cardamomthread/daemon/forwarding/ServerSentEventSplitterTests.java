package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link ServerSentEventSplitter}. */
public class ServerSentEventSplitterTests {

    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

    @DataProvider
    public Object[][] partLengths() {
        Object[][] lengths = new Object[STREAM.length()][];
        for (int i = 0; i < lengths.length; i++) {
            lengths[i] = new Object[] {i + 1};
        }
        return lengths;
    }

    @Test(dataProvider = "partLengths")
    public void returnsOnlyCompleteEventsForAnyChunkSize(int length) {
        ServerSentEventSplitter framer = new ServerSentEventSplitter();
        StringBuilder handedOut = new StringBuilder();
        for (int start = 0; start < STREAM.length(); start += length) {
            String part = STREAM.substring(start, Math.min(STREAM.length(), start + length));
            handedOut.append(text(framer.append(part.getBytes(StandardCharsets.UTF_8))));
            assertEquals(endsWithEvent(handedOut.toString()), true, handedOut.toString());
        }
        assertEquals(handedOut.toString(), STREAM);
        assertEquals(framer.lastEventId(), Optional.of("3"));
        assertEquals(framer.remainder().length, 0);
    }

    @Test
    public void reportsIdOfLastCompleteEvent() {
        ServerSentEventSplitter framer = new ServerSentEventSplitter();
        framer.append("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
        assertEquals(framer.lastEventId(), Optional.of("1"));
        assertEquals(text(framer.remainder()), "id: 2\nda");
        framer.discardPartial();
        assertEquals(
                text(framer.append("id: 2\n\n".getBytes(StandardCharsets.UTF_8))), "id: 2\n\n");
        assertEquals(framer.lastEventId(), Optional.of("2"));
    }

    private static boolean endsWithEvent(String text) {
        return text.isEmpty() || text.endsWith("\n\n") || text.endsWith("\r\n\r\n");
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
