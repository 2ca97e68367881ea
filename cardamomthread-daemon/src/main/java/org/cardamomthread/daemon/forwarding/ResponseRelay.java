package org.cardamomthread.daemon.forwarding;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import org.cardamomthread.configuration.traffic.Repeatability;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.http.ResponseStream;

/**
 * Hands an endpoint's answer to the caller: streams as their events come, other answers whole.
 *
 * <p>Invariant: a stream that may be resumed is handed on in whole events only, so that it can go
 * on after the last of them. Runs on one event loop.
 */
final class ResponseRelay {

    private final HttpExchange exchange;
    private final boolean isResumable;
    private final ServerSentEventSplitter splitter = new ServerSentEventSplitter();
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private ResponseStream stream;

    ResponseRelay(HttpExchange exchange, Repeatability repeatability) {
        this.exchange = exchange;
        this.isResumable = repeatability == Repeatability.RESUMABLE_STREAM;
    }

    /** Tells whether the caller has been sent the head of an answer. */
    boolean hasStarted() {
        return stream != null;
    }

    /** Returns the last event that the caller has got, from which another endpoint can go on. */
    Optional<String> lastEventId() {
        return isResumable && hasStarted() ? splitter.lastEventId() : Optional.empty();
    }

    void stream(int status, HttpHeaders headers, byte[] part) {
        byte[] ready = isResumable ? splitter.append(part) : part;
        if (ready.length == 0) {
            return;
        }
        if (stream == null) {
            stream = exchange.startStream(status, headers);
        }
        stream.write(ready);
    }

    void buffer(byte[] part) {
        buffered.writeBytes(part);
    }

    /** Forgets what the caller has not got, before another attempt. */
    void discardUndelivered() {
        buffered.reset();
        splitter.discardPartial();
    }

    /** Ends the answer as complete. */
    void finish(int status, HttpHeaders headers) {
        byte[] rest = isResumable ? splitter.remainder() : new byte[0];
        if (stream != null) {
            if (rest.length > 0) {
                stream.write(rest);
            }
            stream.finish();
            return;
        }
        buffered.writeBytes(rest);
        exchange.respond(new HttpReply(status, headers, buffered.toByteArray()));
    }

    /** Closes the connection if an answer has begun, so that it cannot look complete. */
    void abort() {
        if (stream != null) {
            stream.abort();
        }
    }
}
