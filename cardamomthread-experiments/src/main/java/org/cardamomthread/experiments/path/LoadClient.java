package org.cardamomthread.experiments.path;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/**
 * Sends the load of a measurement to a target.
 *
 * <p>Thread-safe.
 */
final class LoadClient implements AutoCloseable {

    private static final int OK = 200;
    private static final int IO_THREADS = 2;
    private static final byte EVENT_LINE_START = 'd';

    private final AsyncHttpClient client =
            Dsl.asyncHttpClient(
                    Dsl.config()
                            .setMaxRequestRetry(0)
                            .setIoThreadsCount(IO_THREADS)
                            .setTcpNoDelay(true)
                            .setRequestTimeout(Duration.ofMinutes(10))
                            .setReadTimeout(Duration.ofMinutes(10)));

    /** Calls an idempotent route of the plain service; fails unless the status is 200. */
    CompletableFuture<Void> callService(MeasuredTarget target) {
        BoundRequestBuilder request = client.prepareGet(target.servicePrefix() + "/stock");
        return authorize(request, target)
                .execute()
                .toCompletableFuture()
                .thenAccept(response -> requireOk(target, response.getStatusCode()));
    }

    /** Streams a chat and adds its events to a counter as they arrive. */
    CompletableFuture<Void> stream(MeasuredTarget target, int tokens, AtomicLong received) {
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

    /** Makes the engine generate all later answers more slowly by a factor. */
    void slowDown(String faultsUrl, int factor) throws InterruptedException, ExecutionException {
        client.preparePost(faultsUrl)
                .setBody("{\"kind\":\"slow\",\"factor\":" + factor + "}")
                .execute()
                .toCompletableFuture()
                .get();
    }

    @Override
    public void close() throws IOException {
        client.close();
    }

    private static BoundRequestBuilder authorize(
            BoundRequestBuilder request, MeasuredTarget target) {
        return target.token().isEmpty()
                ? request
                : request.setHeader("Authorization", "Bearer " + target.token());
    }

    private static void requireOk(MeasuredTarget target, int status) {
        if (status != OK) {
            throw new IllegalStateException(
                    "target \""
                            + target.name()
                            + "\" returned status "
                            + status
                            + ", expected 200: see its log");
        }
    }

    /** Counts the server-sent events of one stream by the lines that start with "data". */
    private static final class TokenCounter implements AsyncHandler<Void> {

        private final MeasuredTarget target;
        private final AtomicLong received;
        private boolean isAtLineStart = true;

        TokenCounter(MeasuredTarget target, AtomicLong received) {
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
            int events = 0;
            for (byte value : part.getBodyPartBytes()) {
                if (isAtLineStart && value == EVENT_LINE_START) {
                    events++;
                }
                isAtLineStart = value == '\n';
            }
            received.addAndGet(events);
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
