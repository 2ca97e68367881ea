package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.http.ResponseStream;

/**
 * Provides the request of a job and collects its response where the node itself is the caller.
 *
 * <p>Thread-safe, except that a response stream must be used by one thread at a time.
 */
final class JobExchange implements HttpExchange {

    private final HttpCall call;
    private final CompletableFuture<HttpReply> response = new CompletableFuture<>();

    JobExchange(byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders().set("content-type", "application/json");
        call = new HttpCall(HttpMethod.POST, "/v1/chat/completions", "", headers, body);
    }

    CompletableFuture<HttpReply> getResponse() {
        return response;
    }

    @Override
    public HttpCall getCall() {
        return call;
    }

    @Override
    public void respond(HttpReply reply) {
        response.complete(reply);
    }

    @Override
    public ResponseStream startStream(int status, HttpHeaders headers) {
        return new BufferingResponseStream(status, headers);
    }

    @Override
    public void onDisconnect(Runnable action) {
        // A job has no connection.
    }

    /** Collects the body of a streamed response. */
    private final class BufferingResponseStream implements ResponseStream {

        private final int status;
        private final HttpHeaders headers;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        BufferingResponseStream(int status, HttpHeaders headers) {
            this.status = status;
            this.headers = headers;
        }

        @Override
        public void write(byte[] part) {
            body.writeBytes(part);
        }

        @Override
        public void finish() {
            response.complete(new HttpReply(status, headers, body.toByteArray()));
        }

        @Override
        public void abort() {
            response.completeExceptionally(
                    new MalformedResponseException(
                            "the response was truncated: run the job again"));
        }

        @Override
        public long getPendingBytes() {
            return 0;
        }
    }
}
