package org.cardamomthread.daemon.forwarding;

/**
 * Finds the ends of events in a stream of server-sent events, whose lines may end with LF, CR or
 * CRLF. Keeps no bytes. Not thread-safe.
 */
final class EventBoundaryScanner {

    private static final byte LF = '\n';
    private static final byte CR = '\r';
    private static final byte COMMENT = ':';

    private boolean isLineEmpty = true;
    private boolean isCommentLine;
    private boolean isEventEmpty = true;
    private boolean hasCrLfLines;
    private boolean wasCr;
    private boolean endedAtCr;
    private long eventCount;

    /**
     * Scans the next bytes of the stream.
     *
     * @param bytes the next bytes
     * @return the index after the last event that ends in these bytes, or 0 if none does
     */
    int scan(byte[] bytes) {
        int boundary = 0;
        for (int i = 0; i < bytes.length; i++) {
            byte next = bytes[i];
            boolean isSecondOfCrLf = wasCr && next == LF;
            if (endedAtCr) {
                endedAtCr = false;
                boundary = isSecondOfCrLf ? i + 1 : i;
            }
            wasCr = next == CR;
            if (isSecondOfCrLf) {
                hasCrLfLines = true;
            } else if (next != LF && next != CR) {
                addToLine(next);
            } else if (endLine()) {
                // In a stream with CRLF, the LF that follows belongs to the same event.
                endedAtCr = next == CR && hasCrLfLines;
                boundary = endedAtCr ? boundary : i + 1;
            }
        }
        return boundary;
    }

    /** Returns whether the last event has begun and not ended. */
    boolean isInsideEvent() {
        return !isEventEmpty || endedAtCr;
    }

    /** Returns the number of events that have ended. */
    long eventCount() {
        return eventCount;
    }

    /** Forgets an event that has begun and not ended. */
    void discardPartial() {
        isLineEmpty = true;
        isEventEmpty = true;
        wasCr = false;
        endedAtCr = false;
    }

    private void addToLine(byte next) {
        if (isLineEmpty) {
            isCommentLine = next == COMMENT;
        }
        isLineEmpty = false;
        isEventEmpty &= isCommentLine;
    }

    /** Ends a line; returns whether it was blank and thus ended an event. */
    private boolean endLine() {
        boolean isBlank = isLineEmpty;
        isLineEmpty = true;
        if (isBlank && !isEventEmpty) {
            eventCount++;
            isEventEmpty = true;
        }
        return isBlank;
    }
}
