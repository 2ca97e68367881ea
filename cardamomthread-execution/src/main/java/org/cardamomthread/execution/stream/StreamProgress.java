package org.cardamomthread.execution.stream;

import java.util.Objects;
import java.util.OptionalLong;
import org.cardamomthread.core.id.RequestId;

/**
 * Follows one answer as it arrives and judges whether it is whole.
 *
 * <p>Invariant: an answer counts as whole only if the endpoint named the request it answers, no
 * byte came after the end, and the end was marked: by the end marker for a stream, by the announced
 * length or the end of the last chunk otherwise. Not safe for use by several threads.
 */
public final class StreamProgress {

    /** Judges an answer. */
    public enum Verdict {
        /** The whole answer to this request. */
        WHOLE,
        /** The endpoint named another request, or none: its connection must be closed. */
        WRONG_REQUEST,
        /** It ended before its end marker or announced length. */
        TRUNCATED,
        /** Something came after the end. */
        TRAILING
    }

    private final RequestId request;
    private final boolean needsEndMarker;
    private final StringBuilder text = new StringBuilder();
    private boolean requestIdMatches;
    private OptionalLong contentLength = OptionalLong.empty();
    private long receivedBytes;
    private int tokens;
    private boolean endMarkerReceived;
    private boolean trailingDataReceived;
    private boolean messageComplete;

    /**
     * Creates the progress of an answer of which nothing arrived.
     *
     * @param request the request it must answer
     * @param needsEndMarker whether it is a stream that ends with a marker
     */
    public StreamProgress(RequestId request, boolean needsEndMarker) {
        this.request = Objects.requireNonNull(request, "request must not be null");
        this.needsEndMarker = needsEndMarker;
    }

    /**
     * Takes the head of the answer.
     *
     * @param echoedRequest the request that the endpoint named, null if it named none
     * @param newAnnouncedBytes the announced length, if any
     * @return false if the answer is not for this request
     */
    public boolean begin(String echoedRequest, OptionalLong newAnnouncedBytes) {
        requestIdMatches = request.value().equals(echoedRequest);
        contentLength = newAnnouncedBytes;
        return requestIdMatches;
    }

    /**
     * Takes a piece of the body.
     *
     * @param bytes its length
     */
    public void received(long bytes) {
        receivedBytes += bytes;
        trailingDataReceived |=
                messageComplete
                        || contentLength.isPresent() && receivedBytes > contentLength.getAsLong();
    }

    /**
     * Takes one generated chunk, once it was passed on.
     *
     * @param chunk its text
     * @param chunkTokens the tokens it stands for
     */
    public void delivered(String chunk, int chunkTokens) {
        trailingDataReceived |= endMarkerReceived;
        text.append(chunk);
        tokens += chunkTokens;
    }

    /** Takes the end marker of a stream. */
    public void endMarker() {
        trailingDataReceived |= endMarkerReceived;
        endMarkerReceived = true;
    }

    /** Takes the regular end of the message: the last chunk or the announced length was read. */
    public void messageEnded() {
        messageComplete = true;
    }

    /**
     * Judges the answer as if nothing more came.
     *
     * @return the verdict
     */
    public Verdict verdict() {
        if (!requestIdMatches) {
            return Verdict.WRONG_REQUEST;
        }
        if (trailingDataReceived) {
            return Verdict.TRAILING;
        }
        boolean shorter = contentLength.isPresent() && receivedBytes < contentLength.getAsLong();
        boolean unmarked = needsEndMarker ? !endMarkerReceived : !messageComplete;
        return shorter || unmarked ? Verdict.TRUNCATED : Verdict.WHOLE;
    }

    /**
     * Returns what was passed on so far.
     *
     * @return text and tokens
     */
    public Delivered delivered() {
        return new Delivered(text.toString(), tokens);
    }
}
