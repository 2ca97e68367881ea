package org.cardamomthread.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Parses a server-sent event stream into the data of its events.
 *
 * <p>Lines may end with LF, CR or CRLF, and the stream may be fed in chunks of any size. Comments
 * and fields other than {@code data} are ignored. Not thread-safe.
 */
final class EventStreamParser {

    private static final String DATA_FIELD = "data:";

    private final int maxEventBytes;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private boolean hasData;
    private boolean wasCr;

    /**
     * Creates a parser.
     *
     * @param maxEventBytes maximum length of an event, in bytes
     */
    EventStreamParser(int maxEventBytes) {
        this.maxEventBytes = maxEventBytes;
    }

    /**
     * Parses the next bytes of the stream.
     *
     * @param part the next bytes
     * @return the data of each event that these bytes complete, in stream order
     * @throws MalformedResponseException if an event exceeds the maximum length
     */
    List<String> feed(byte[] part) throws MalformedResponseException {
        List<String> events = new ArrayList<>();
        for (byte next : part) {
            boolean isSecondOfCrLf = wasCr && next == '\n';
            wasCr = next == '\r';
            if (isSecondOfCrLf) {
                continue;
            }
            if (next == '\n' || next == '\r') {
                endLine(events);
            } else {
                line.write(next);
            }
        }
        if (line.size() + data.length() > maxEventBytes) {
            throw new MalformedResponseException(
                    "an event is longer than "
                            + maxEventBytes
                            + " bytes: have the endpoint split it");
        }
        return events;
    }

    private void endLine(List<String> events) {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.isEmpty()) {
            endEvent(events);
            return;
        }
        if (!text.startsWith(DATA_FIELD)) {
            return;
        }
        if (hasData) {
            data.append('\n');
        }
        hasData = true;
        int start = DATA_FIELD.length();
        boolean isPadded = text.length() > start && text.charAt(start) == ' ';
        data.append(text, isPadded ? start + 1 : start, text.length());
    }

    private void endEvent(List<String> events) {
        if (hasData) {
            events.add(data.toString());
        }
        data.setLength(0);
        hasData = false;
    }
}
