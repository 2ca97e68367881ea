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
 * Stands in for a caller where the node itself runs the call of a job.
 *
 * <p>Safe for use by several threads; the stream by one at a time.
 */
final class JobExchange implements HttpExchange {

    private final HttpCall call;
    private final CompletableFuture<HttpReply> answer = new CompletableFuture<>();

    JobExchange(byte[] body) {
        HttpHeaders headers = new DefaultHttpHeaders().set("content-type", "application/json");
        call = new HttpCall(HttpMethod.POST, "/v1/chat/completions", "", headers, body);
    }

    CompletableFuture<HttpReply> getAnswer() {
        return answer;
    }

    @Override
    public HttpCall getCall() {
        return call;
    }

    @Override
    public void respond(HttpReply reply) {
        answer.complete(reply);
    }

    @Override
    public ResponseStream startStream(int status, HttpHeaders headers) {
        return new CollectingStream(status, headers);
    }

    @Override
    public void onDisconnect(Runnable action) {
        // A job has no connection that could close.
    }

    /** Collects a long answer. */
    private final class CollectingStream implements ResponseStream {

        private final int status;
        private final HttpHeaders headers;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();

        CollectingStream(int status, HttpHeaders headers) {
            this.status = status;
            this.headers = headers;
        }

        @Override
        public void write(byte[] part) {
            body.writeBytes(part);
        }

        @Override
        public void finish() {
            answer.complete(new HttpReply(status, headers, body.toByteArray()));
        }

        @Override
        public void abort() {
            answer.completeExceptionally(
                    new MalformedAnswerException("the answer was truncated: run the job again"));
        }

        @Override
        public long getPendingBytes() {
            return 0;
        }
    }
}
