package org.cardamomthread.execution.stream;

import java.util.Objects;
import java.util.OptionalLong;
import org.cardamomthread.core.id.RequestId;

/**
 * Tracks a response as it arrives and determines whether it is complete.
 *
 * <p>Invariant: a response is complete only if the endpoint returned the identifier of the request,
 * no data followed the end, and the end was indicated: by the end marker of a stream, otherwise by
 * the announced length or the last chunk. Not thread-safe.
 */
public final class ResponseStreamTracker {

    /** Completeness of a response. */
    public enum Verdict {
        /** The response to this request is complete. */
        COMPLETE,
        /**
         * The endpoint returned another request identifier or none; its connection must be closed.
         */
        WRONG_REQUEST,
        /** The response ended before its end marker or announced length. */
        TRUNCATED,
        /** Data followed the end of the response. */
        TRAILING_DATA
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
     * Creates a tracker for a response of which nothing has arrived.
     *
     * @param request request that the response must belong to
     * @param needsEndMarker whether the response is a stream that must end with an end marker
     */
    public ResponseStreamTracker(RequestId request, boolean needsEndMarker) {
        this.request = Objects.requireNonNull(request, "request must not be null");
        this.needsEndMarker = needsEndMarker;
    }

    /**
     * Processes the head of the response.
     *
     * @param echoedRequest request identifier that the endpoint returned; null if there was none
     * @param newContentLength announced length in bytes, if any
     * @return whether the response belongs to this request
     */
    public boolean onHead(String echoedRequest, OptionalLong newContentLength) {
        requestIdMatches = request.value().equals(echoedRequest);
        contentLength = newContentLength;
        return requestIdMatches;
    }

    /**
     * Counts bytes of the body that arrived.
     *
     * @param bytes number of bytes
     */
    public void onBodyBytes(long bytes) {
        receivedBytes += bytes;
        trailingDataReceived |=
                messageComplete
                        || contentLength.isPresent() && receivedBytes > contentLength.getAsLong();
    }

    /**
     * Records a generated chunk after it was forwarded to the caller.
     *
     * @param chunk text of the chunk
     * @param chunkTokens number of tokens that the chunk represents
     */
    public void delivered(String chunk, int chunkTokens) {
        trailingDataReceived |= endMarkerReceived;
        text.append(chunk);
        tokens += chunkTokens;
    }

    /** Records that the end marker of the stream arrived. */
    public void onEndMarker() {
        trailingDataReceived |= endMarkerReceived;
        endMarkerReceived = true;
    }

    /** Records that the message ended regularly, after its last chunk or its announced length. */
    public void onMessageEnd() {
        messageComplete = true;
    }

    /**
     * Determines whether the response is complete, assuming that no more data arrives.
     *
     * @return the verdict on what has arrived so far
     */
    public Verdict verdict() {
        if (!requestIdMatches) {
            return Verdict.WRONG_REQUEST;
        }
        if (trailingDataReceived) {
            return Verdict.TRAILING_DATA;
        }
        boolean tooShort = contentLength.isPresent() && receivedBytes < contentLength.getAsLong();
        boolean endMissing = needsEndMarker ? !endMarkerReceived : !messageComplete;
        return tooShort || endMissing ? Verdict.TRUNCATED : Verdict.COMPLETE;
    }

    /**
     * Returns the output that was forwarded to the caller so far.
     *
     * @return forwarded text and its token count
     */
    public DeliveredOutput delivered() {
        return new DeliveredOutput(text.toString(), tokens);
    }
}
