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
final class AnswerRelay {

    private final HttpExchange exchange;
    private final boolean isResumable;
    private final EventFramer framer = new EventFramer();
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private ResponseStream stream;

    AnswerRelay(HttpExchange exchange, Repeatability repeatability) {
        this.exchange = exchange;
        this.isResumable = repeatability == Repeatability.RESUMABLE_STREAM;
    }

    /** Tells whether the caller has been sent the head of an answer. */
    boolean hasBegun() {
        return stream != null;
    }

    /** Returns the last event that the caller has got, from which another endpoint can go on. */
    Optional<String> lastEventId() {
        return isResumable && hasBegun() ? framer.lastId() : Optional.empty();
    }

    void stream(int status, HttpHeaders headers, byte[] part) {
        byte[] ready = isResumable ? framer.accept(part) : part;
        if (ready.length == 0) {
            return;
        }
        if (stream == null) {
            stream = exchange.startStream(status, headers);
        }
        stream.write(ready);
    }

    void collect(byte[] part) {
        collected.writeBytes(part);
    }

    /** Forgets what the caller has not got, before another attempt. */
    void clear() {
        collected.reset();
        framer.dropPartial();
    }

    /** Ends the answer as complete. */
    void finish(int status, HttpHeaders headers) {
        byte[] rest = isResumable ? framer.remainder() : new byte[0];
        if (stream != null) {
            if (rest.length > 0) {
                stream.write(rest);
            }
            stream.finish();
            return;
        }
        collected.writeBytes(rest);
        exchange.respond(new HttpReply(status, headers, collected.toByteArray()));
    }

    /** Closes the connection if an answer has begun, so that it cannot look complete. */
    void abort() {
        if (stream != null) {
            stream.abort();
        }
    }
}
