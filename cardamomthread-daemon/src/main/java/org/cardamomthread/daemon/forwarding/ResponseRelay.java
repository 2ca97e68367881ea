package org.cardamomthread.daemon.forwarding;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Locale;
import java.util.Optional;
import org.cardamomthread.configuration.traffic.RequestKind;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ResponseStream;
import org.cardamomthread.daemon.http.ServerResponse;

/**
 * Relays an endpoint's response to the client: streams as they arrive, other responses once they
 * are complete.
 *
 * <p>Invariants: at most {@value #MAX_BUFFERED_BYTES} bytes are held back, plus the last part that
 * was received; what exceeds {@value #UNRESERVED_BYTES} of them is reserved in the budget of the
 * gateway until it is sent or discarded. A resumable stream is relayed in complete events only, so
 * that another endpoint can continue after the last one, and an event only if it may follow the one
 * before. Must be used on one event loop.
 */
final class ResponseRelay {

    /** Maximum length of a response, or of an event, that is held back until it is complete. */
    static final int MAX_BUFFERED_BYTES = 1024 * 1024;

    /** Bytes that a response may hold back whatever others hold; more than most responses have. */
    static final int UNRESERVED_BYTES = 32 * 1024;

    private static final String EVENT_STREAM = "text/event-stream";
    private static final int STATUS_OK = 200;

    private final HttpExchange exchange;
    private final RequestKind requestKind;
    private final HeldBytesBudget budget;
    private final EventIdSequence eventIds = new EventIdSequence();
    private final EventBoundaryScanner scanner = new EventBoundaryScanner();
    private final ServerSentEventSplitter splitter = new ServerSentEventSplitter(scanner);
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private long eventsOfEarlierAttempts;
    private boolean isEventStream;
    private ResponseStream stream;
    private long reservedBytes;
    private boolean isBudgetExhausted;

    ResponseRelay(HttpExchange exchange, RequestKind requestKind, HeldBytesBudget budget) {
        this.exchange = exchange;
        this.requestKind = requestKind;
        this.budget = budget;
    }

    /** Returns whether the response head has been sent to the client. */
    boolean hasStarted() {
        return stream != null;
    }

    /** Returns whether another endpoint can continue the response to the client. */
    boolean mayResume() {
        return stream == null || isResumable() && eventIds.mayResume();
    }

    /**
     * Returns the id of the last event that the client has received, after which another endpoint
     * can resume the stream.
     */
    Optional<String> lastEventId() {
        return isResumable() && hasStarted() ? eventIds.lastId() : Optional.empty();
    }

    /**
     * Begins a successful response of an attempt.
     *
     * @return false if it cannot continue the stream that the client has received so far
     */
    boolean beginSuccess(int status, HttpHeaders headers) {
        boolean isEventStreamResponse = hasEvents(status, headers);
        if (hasStarted()) {
            return isEventStreamResponse;
        }
        isEventStream = isEventStreamResponse;
        return true;
    }

    /**
     * Sends a part to the client, in a resumable stream as far as its events are complete.
     *
     * @return false if an event in it cannot follow the last one, which then is not sent
     */
    boolean stream(int status, HttpHeaders headers, byte[] chunk) {
        byte[] deliverable = chunk;
        if (isResumable()) {
            deliverable = splitter.append(chunk);
            updateReservation();
        } else if (isEventStream) {
            scanner.scan(chunk);
        }
        if (deliverable.length == 0) {
            return true;
        }
        if (isResumable() && !eventIds.accept(ServerSentEventSplitter.readIds(deliverable))) {
            return false;
        }
        if (stream == null) {
            stream = exchange.startStream(status, headers);
        }
        stream.write(deliverable);
        return true;
    }

    /**
     * Returns whether the response of the attempt is whole, given that its message has ended. A
     * stream without an event is not, nor is one that ends inside an event.
     */
    boolean isWhole() {
        return !isEventStream || hasEventOfAttempt() && !scanner.isInsideEvent();
    }

    /** Returns whether an event of the current attempt has been received completely. */
    boolean hasEventOfAttempt() {
        return scanner.eventCount() > eventsOfEarlierAttempts;
    }

    /** Holds a part back until the response is complete. */
    void buffer(byte[] chunk) {
        buffered.writeBytes(chunk);
        updateReservation();
    }

    private void updateReservation() {
        long heldBytes = buffered.size() + splitter.partialBytes();
        long missingBytes = Math.max(0, heldBytes - UNRESERVED_BYTES) - reservedBytes;
        if (missingBytes <= 0) {
            budget.release(-missingBytes);
            reservedBytes += missingBytes;
        } else if (budget.tryReserve(missingBytes)) {
            reservedBytes += missingBytes;
        } else {
            isBudgetExhausted = true;
        }
    }

    /** Sends what was held back to the client, and all further parts as they arrive. */
    void streamBuffered(int status, HttpHeaders headers) {
        stream = exchange.startStream(status, headers);
        stream.write(buffered.toByteArray());
        buffered.reset();
        isBudgetExhausted = false;
        updateReservation();
    }

    /** Returns whether more is held back than the maximum, or than the gateway has memory for. */
    boolean isFull() {
        return isBudgetExhausted
                || buffered.size() > MAX_BUFFERED_BYTES
                || splitter.partialBytes() > MAX_BUFFERED_BYTES;
    }

    private void discardHeld() {
        buffered.reset();
        splitter.discardPartial();
        isBudgetExhausted = false;
        updateReservation();
    }

    /** Releases what the response holds; must be called once the call has ended. */
    void close() {
        discardHeld();
    }

    /** Returns the number of bytes that were sent to the client and not yet written. */
    long pendingBytes() {
        return stream == null ? 0 : stream.getPendingBytes();
    }

    /** Discards data that has not been sent to the client, before another attempt. */
    void discardUndelivered() {
        discardHeld();
        eventsOfEarlierAttempts = scanner.eventCount();
        eventIds.beginRun();
    }

    /** Completes the response to the client, which must be whole. */
    void finish(int status, HttpHeaders headers) {
        byte[] remainder = isResumable() ? splitter.remainder() : new byte[0];
        if (stream != null) {
            if (remainder.length > 0) {
                stream.write(remainder);
            }
            stream.finish();
            return;
        }
        buffered.writeBytes(remainder);
        exchange.respond(new ServerResponse(status, headers, buffered.toByteArray()));
    }

    /**
     * Closes the connection if the response has started, so that the client cannot take it for
     * complete.
     */
    void abort() {
        if (stream != null) {
            stream.abort();
        }
    }

    private boolean isResumable() {
        return isEventStream && requestKind == RequestKind.RESUMABLE_STREAM;
    }

    private boolean hasEvents(int status, HttpHeaders headers) {
        if (!requestKind.isStream() || status != STATUS_OK) {
            return false;
        }
        String contentType = headers.get(HttpHeaderNames.CONTENT_TYPE);
        return contentType == null
                || contentType.toLowerCase(Locale.ROOT).trim().startsWith(EVENT_STREAM);
    }
}
