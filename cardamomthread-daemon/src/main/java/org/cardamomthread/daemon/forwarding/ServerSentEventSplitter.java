package org.cardamomthread.daemon.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries and tracks the id of the last complete
 * event.
 *
 * <p>Invariant: the returned bytes always end at an event boundary. Not thread-safe.
 */
final class ServerSentEventSplitter {

    private static final String ID_FIELD = "id:";
    private static final byte[] NO_BYTES = new byte[0];

    private byte[] partial = NO_BYTES;
    private Optional<String> lastEventId = Optional.empty();

    /**
     * Appends bytes and returns the events that they complete.
     *
     * @param bytes the next bytes of the stream
     * @return the complete events, or an empty array
     */
    byte[] append(byte[] bytes) {
        byte[] joined = Arrays.copyOf(partial, partial.length + bytes.length);
        System.arraycopy(bytes, 0, joined, partial.length, bytes.length);
        int boundary = findEndOfLastEvent(joined);
        byte[] complete = Arrays.copyOf(joined, boundary);
        partial = Arrays.copyOfRange(joined, boundary, joined.length);
        updateLastEventId(complete);
        return complete;
    }

    /** Discards the start of an event that will not be completed. */
    void discardPartial() {
        partial = NO_BYTES;
    }

    /** Returns the bytes after the last complete event. */
    byte[] remainder() {
        return partial;
    }

    int partialBytes() {
        return partial.length;
    }

    Optional<String> lastEventId() {
        return lastEventId;
    }

    private void updateLastEventId(byte[] complete) {
        String text = new String(complete, StandardCharsets.UTF_8);
        int start = text.lastIndexOf("\n" + ID_FIELD);
        int fieldStart = start >= 0 ? start + 1 : text.startsWith(ID_FIELD) ? 0 : -1;
        if (fieldStart >= 0) {
            int lineEnd = text.indexOf('\n', fieldStart);
            lastEventId =
                    Optional.of(text.substring(fieldStart + ID_FIELD.length(), lineEnd).trim());
        }
    }

    /**
     * Returns the index after the last blank line, which terminates an event, or 0 if there is
     * none.
     */
    private static int findEndOfLastEvent(byte[] bytes) {
        for (int i = bytes.length - 1; i > 0; i--) {
            if (bytes[i] != '\n') {
                continue;
            }
            boolean endsLine = bytes[i - 1] == '\n';
            boolean endsCrLf = bytes[i - 1] == '\r' && i > 1 && bytes[i - 2] == '\n';
            if (endsLine || endsCrLf) {
                return i + 1;
            }
        }
        return 0;
    }
}
