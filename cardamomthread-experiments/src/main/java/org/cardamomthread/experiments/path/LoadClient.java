package org.cardamomthread.experiments.path;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/**
 * Calls a target.
 *
 * <p>Safe for use by several threads.
 */
final class LoadClient implements AutoCloseable {

    private static final int OK = 200;
    private static final int IO_THREADS = 2;
    private static final byte EVENT_START = 'd';

    private final AsyncHttpClient client =
            Dsl.asyncHttpClient(
                    Dsl.config()
                            .setMaxRequestRetry(0)
                            .setIoThreadsCount(IO_THREADS)
                            .setTcpNoDelay(true)
                            .setRequestTimeout(Duration.ofMinutes(10))
                            .setReadTimeout(Duration.ofMinutes(10)));

    /** Calls a repeatable route of the plain service; fails unless the status is 200. */
    CompletableFuture<Void> callService(Target target) {
        BoundRequestBuilder request = client.prepareGet(target.servicePrefix() + "/stock");
        return authorize(request, target)
                .execute()
                .toCompletableFuture()
                .thenAccept(response -> requireOk(target, response.getStatusCode()));
    }

    /** Streams a chat and counts its tokens as they arrive. */
    CompletableFuture<Void> stream(Target target, int tokens, AtomicLong received) {
        String body =
                String.format(
                        "{\"model\":\"chat\",\"max_tokens\":%d,\"stream\":true,"
                                + "\"messages\":[{\"role\":\"user\",\"content\":\"ice\"}]}",
                        tokens);
        BoundRequestBuilder request =
                client.preparePost(target.modelUrl())
                        .setHeader("Content-Type", "application/json")
                        .setBody(body);
        return authorize(request, target)
                .execute(new TokenCounter(target, received))
                .toCompletableFuture();
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private static BoundRequestBuilder authorize(BoundRequestBuilder request, Target target) {
        return target.token().isEmpty()
                ? request
                : request.setHeader("Authorization", "Bearer " + target.token());
    }

    private static void requireOk(Target target, int status) {
        if (status != OK) {
            throw new IllegalStateException(
                    "target \"" + target.name() + "\" answered " + status + ": see its log");
        }
    }

    /** Counts the events of one stream. */
    private static final class TokenCounter implements AsyncHandler<Void> {

        private final Target target;
        private final AtomicLong received;
        private boolean isAtLineStart = true;

        TokenCounter(Target target, AtomicLong received) {
            this.target = target;
            this.received = received;
        }

        @Override
        public State onStatusReceived(HttpResponseStatus status) {
            requireOk(target, status.getStatusCode());
            return State.CONTINUE;
        }

        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            return State.CONTINUE;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            int lines = 0;
            for (byte value : part.getBodyPartBytes()) {
                if (isAtLineStart && value == EVENT_START) {
                    lines++;
                }
                isAtLineStart = value == '\n';
            }
            received.addAndGet(lines);
            return State.CONTINUE;
        }

        @Override
        public void onThrowable(Throwable failure) {
            System.err.println(target.name() + ": " + failure.getMessage());
        }

        @Override
        public Void onCompleted() {
            return null;
        }
    }
}
