package org.cardamomthread.daemon.forwarding;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at the ends of events and remembers the last event's id.
 *
 * <p>Invariant: what has been handed out ends with a whole event. Used by one thread at a time.
 */
final class ServerSentEventSplitter {

    private static final String ID_FIELD = "id:";
    private static final byte[] NO_BYTES = new byte[0];

    private byte[] partial = NO_BYTES;
    private Optional<String> lastEventId = Optional.empty();

    /**
     * Takes bytes in.
     *
     * @param bytes the next bytes of the stream
     * @return the whole events that they complete, perhaps none
     */
    byte[] append(byte[] bytes) {
        byte[] joined = Arrays.copyOf(partial, partial.length + bytes.length);
        System.arraycopy(bytes, 0, joined, partial.length, bytes.length);
        int end = findEndOfLastEvent(joined);
        byte[] whole = Arrays.copyOf(joined, end);
        partial = Arrays.copyOfRange(joined, end, joined.length);
        updateLastEventId(whole);
        return whole;
    }

    /** Drops the beginning of an event that will not be completed. */
    void discardPartial() {
        partial = NO_BYTES;
    }

    /** Returns what is left after the last whole event. */
    byte[] remainder() {
        return partial;
    }

    Optional<String> lastEventId() {
        return lastEventId;
    }

    private void updateLastEventId(byte[] whole) {
        String text = new String(whole, StandardCharsets.UTF_8);
        int start = text.lastIndexOf("\n" + ID_FIELD);
        int fieldStart = start >= 0 ? start + 1 : text.startsWith(ID_FIELD) ? 0 : -1;
        if (fieldStart >= 0) {
            int lineEnd = text.indexOf('\n', fieldStart);
            lastEventId =
                    Optional.of(text.substring(fieldStart + ID_FIELD.length(), lineEnd).trim());
        }
    }

    /** Returns the index after the last blank line, which ends an event. */
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
