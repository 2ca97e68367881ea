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
    public Object[][] chunkSizes() {
        Object[][] lengths = new Object[STREAM.length()][];
        for (int i = 0; i < lengths.length; i++) {
            lengths[i] = new Object[] {i + 1};
        }
        return lengths;
    }

    @Test(dataProvider = "chunkSizes")
    public void returnsOnlyCompleteEventsForAnyChunkSize(int chunkSize) {
        ServerSentEventSplitter splitter = new ServerSentEventSplitter();
        StringBuilder returned = new StringBuilder();
        for (int start = 0; start < STREAM.length(); start += chunkSize) {
            String chunk = STREAM.substring(start, Math.min(STREAM.length(), start + chunkSize));
            returned.append(text(splitter.append(chunk.getBytes(StandardCharsets.UTF_8))));
            assertEquals(endsWithEvent(returned.toString()), true, returned.toString());
        }
        assertEquals(returned.toString(), STREAM);
        assertEquals(splitter.lastEventId(), Optional.of("3"));
        assertEquals(splitter.remainder().length, 0);
    }

    @Test
    public void reportsIdOfLastCompleteEvent() {
        ServerSentEventSplitter splitter = new ServerSentEventSplitter();
        splitter.append("id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8));
        assertEquals(splitter.lastEventId(), Optional.of("1"));
        assertEquals(text(splitter.remainder()), "id: 2\nda");
        splitter.discardPartial();
        assertEquals(
                text(splitter.append("id: 2\n\n".getBytes(StandardCharsets.UTF_8))), "id: 2\n\n");
        assertEquals(splitter.lastEventId(), Optional.of("2"));
    }

    private static boolean endsWithEvent(String text) {
        return text.isEmpty() || text.endsWith("\n\n") || text.endsWith("\r\n\r\n");
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
