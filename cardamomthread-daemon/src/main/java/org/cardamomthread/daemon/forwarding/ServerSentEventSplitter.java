package org.cardamomthread.daemon.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events at event boundaries and reads the ids of the events.
 *
 * <p>Invariants: the returned bytes always end at an event boundary; a byte is copied a bounded
 * number of times on average, in however many parts its event arrives. Not thread-safe.
 */
final class ServerSentEventSplitter {

    private static final String ID_FIELD = "id:";
    private static final String COMMENT = ":";
    private static final Pattern LINE_END = Pattern.compile("\r\n|\r|\n");
    private static final byte[] NO_BYTES = new byte[0];

    private final EventBoundaryScanner scanner;
    private ByteArrayOutputStream partial = new ByteArrayOutputStream();

    ServerSentEventSplitter(EventBoundaryScanner scanner) {
        this.scanner = scanner;
    }

    /**
     * Appends bytes and returns the events that they complete.
     *
     * @param bytes the next bytes of the stream
     * @return the complete events, or an empty array
     */
    byte[] append(byte[] bytes) {
        int boundary = scanner.scan(bytes);
        if (boundary == 0) {
            partial.write(bytes, 0, bytes.length);
            return NO_BYTES;
        }
        partial.write(bytes, 0, boundary);
        byte[] complete = partial.toByteArray();
        // A new buffer, since the former one may have grown to the longest event allowed.
        partial = new ByteArrayOutputStream();
        partial.write(bytes, boundary, bytes.length - boundary);
        return complete;
    }

    /**
     * Reads the ids of events that were returned by {@link #append}.
     *
     * @param events complete events
     * @return for each event its id, or empty if it has none
     */
    static List<Optional<String>> readIds(byte[] events) {
        List<Optional<String>> ids = new ArrayList<>();
        Optional<String> id = Optional.empty();
        boolean hasField = false;
        for (String line : LINE_END.split(new String(events, StandardCharsets.UTF_8), -1)) {
            if (line.isEmpty()) {
                if (hasField) {
                    ids.add(id);
                }
                id = Optional.empty();
                hasField = false;
            } else if (!line.startsWith(COMMENT)) {
                hasField = true;
                if (line.startsWith(ID_FIELD)) {
                    id = Optional.of(line.substring(ID_FIELD.length()).trim());
                }
            }
        }
        return ids;
    }

    /** Discards the start of an event that will not be completed. */
    void discardPartial() {
        partial = new ByteArrayOutputStream();
        scanner.discardPartial();
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return partial.toByteArray();
    }

    int partialBytes() {
        return partial.size();
    }
}
