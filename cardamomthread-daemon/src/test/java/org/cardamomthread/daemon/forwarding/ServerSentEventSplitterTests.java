package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
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
        ServerSentEventSplitter splitter = new ServerSentEventSplitter(new EventBoundaryScanner());
        StringBuilder returned = new StringBuilder();
        for (int start = 0; start < STREAM.length(); start += chunkSize) {
            String chunk = STREAM.substring(start, Math.min(STREAM.length(), start + chunkSize));
            returned.append(text(splitter.append(chunk.getBytes(StandardCharsets.UTF_8))));
            assertEquals(endsWithEvent(returned.toString()), true, returned.toString());
        }
        assertEquals(returned.toString(), STREAM);
        assertEquals(
                ServerSentEventSplitter.readIds(bytes(returned.toString())),
                List.of(Optional.of("1"), Optional.of("2"), Optional.of("3")));
        assertEquals(splitter.remainder().length, 0);
    }

    @Test
    public void reportsIdOfLastCompleteEvent() {
        ServerSentEventSplitter splitter = new ServerSentEventSplitter(new EventBoundaryScanner());
        byte[] first = splitter.append(bytes("id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals(ServerSentEventSplitter.readIds(first), List.of(Optional.of("1")));
        assertEquals(text(splitter.remainder()), "id: 2\nda");
        splitter.discardPartial();
        byte[] second = splitter.append(bytes("id: 2\n\n"));
        assertEquals(text(second), "id: 2\n\n");
        assertEquals(ServerSentEventSplitter.readIds(second), List.of(Optional.of("2")));
    }

    @DataProvider
    public Object[][] shortChunks() {
        return new Object[][] {{1}, {2}, {64}};
    }

    /** Guards against a gateway that copies all of an unfinished event for each of its chunks. */
    @Test(dataProvider = "shortChunks")
    public void workGrowsWithTheLengthOfAnUnfinishedEvent(int chunkBytes) {
        int eventBytes = 128 * 1024;
        ServerSentEventSplitter splitter = new ServerSentEventSplitter(new EventBoundaryScanner());
        byte[] chunk = bytes("x".repeat(chunkBytes));
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        for (int i = 0; i < eventBytes / chunkBytes; i++) {
            assertEquals(splitter.append(chunk).length, 0);
        }
        long allocatedBytes = threads.getCurrentThreadAllocatedBytes() - before;
        assertEquals(splitter.partialBytes(), eventBytes);
        assertTrue(allocatedBytes < 64L * eventBytes, allocatedBytes + " bytes allocated");
    }

    private static boolean endsWithEvent(String text) {
        return text.isEmpty() || text.endsWith("\n\n") || text.endsWith("\r\n\r\n");
    }

    @DataProvider
    public Object[][] lineEnds() {
        return new Object[][] {{"\n"}, {"\r"}, {"\r\n"}};
    }

    @Test(dataProvider = "lineEnds")
    public void findsEventsWithAnyLineEndsForAnyChunkSize(String lineEnd) {
        String stream =
                ": comment\n\nid: 1\ndata: a\n\ndata: b\ndata: c\n\nid: 3\n\n"
                        .replace("\n", lineEnd);
        for (int chunkSize = 1; chunkSize <= stream.length(); chunkSize++) {
            EventBoundaryScanner scanner = new EventBoundaryScanner();
            ServerSentEventSplitter splitter = new ServerSentEventSplitter(scanner);
            StringBuilder returned = new StringBuilder();
            for (int start = 0; start < stream.length(); start += chunkSize) {
                String chunk =
                        stream.substring(start, Math.min(stream.length(), start + chunkSize));
                returned.append(text(splitter.append(bytes(chunk))));
            }
            assertEquals(returned.toString(), stream);
            assertFalse(scanner.isInsideEvent());
            assertEquals(scanner.eventCount(), 3);
            assertEquals(
                    ServerSentEventSplitter.readIds(bytes(stream)),
                    List.of(Optional.of("1"), Optional.empty(), Optional.of("3")));
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
