package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.ResponseStream;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.http.ServerResponse;

/**
 * Provides the request of a job and collects its response where the node itself is the caller.
 *
 * <p>Thread-safe, except that a response stream must be used by one thread at a time.
 */
final class JobExchange implements HttpExchange {

    private final ServerRequest request;
    private final CompletableFuture<ServerResponse> responseFuture = new CompletableFuture<>();

    JobExchange(byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders().set("content-type", "application/json");
        request = new ServerRequest(HttpMethod.POST, "/v1/chat/completions", headers, body);
    }

    CompletableFuture<ServerResponse> getResponse() {
        return responseFuture;
    }

    @Override
    public ServerRequest getRequest() {
        return request;
    }

    @Override
    public void respond(ServerResponse response) {
        responseFuture.complete(response);
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
            responseFuture.complete(new ServerResponse(status, headers, body.toByteArray()));
        }

        @Override
        public void abort() {
            responseFuture.completeExceptionally(
                    new MalformedResponseException(
                            "the response was truncated: run the job again"));
        }

        @Override
        public long getPendingBytes() {
            return 0;
        }
    }
}
