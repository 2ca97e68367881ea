package org.cardamomthread.daemon.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Splits a stream of server-sent events at event boundaries and reads the ids of the events.
 *
 * <p>Invariant: the returned bytes always end at an event boundary. Not thread-safe.
 */
final class ServerSentEventSplitter {

    private static final String ID_FIELD = "id:";
    private static final String COMMENT = ":";
    private static final Pattern LINE_END = Pattern.compile("\r\n|\r|\n");
    private static final byte[] NO_BYTES = new byte[0];

    private final EventBoundaryScanner scanner;
    private byte[] partial = NO_BYTES;

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
        byte[] joined = Arrays.copyOf(partial, partial.length + bytes.length);
        System.arraycopy(bytes, 0, joined, partial.length, bytes.length);
        int boundary = scanner.scan(bytes);
        int completeBytes = boundary == 0 ? 0 : partial.length + boundary;
        partial = Arrays.copyOfRange(joined, completeBytes, joined.length);
        return Arrays.copyOf(joined, completeBytes);
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
        partial = NO_BYTES;
        scanner.discardPartial();
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return partial;
    }

    int partialBytes() {
        return partial.length;
    }
}
