package org.cardamomthread.daemon.testing;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.cardamomthread.daemon.dispatch.EndpointAttempt;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointRequest;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;

/** Runs one script per attempt, in order and synchronously. */
public final class FakeEndpointClient implements EndpointClient {

    private final List<Consumer<EndpointResponseListener>> scripts = new ArrayList<>();
    private final List<EndpointRequest> requests = new ArrayList<>();
    private final List<Boolean> cancelled = new ArrayList<>();

    public void addScript(Consumer<EndpointResponseListener> script) {
        scripts.add(script);
    }

    public String getRequestBody(int attempt) {
        return new String(requests.get(attempt).body(), StandardCharsets.UTF_8);
    }

    public EndpointRequest getRequest(int attempt) {
        return requests.get(attempt);
    }

    public int getAttemptCount() {
        return requests.size();
    }

    public boolean isCancelled(int attempt) {
        return cancelled.get(attempt);
    }

    public static void beginStream(EndpointResponseListener listener) {
        listener.onHead(200, new DefaultHttpHeaders().set("content-type", "text/event-stream"));
    }

    public static void sendToken(EndpointResponseListener listener, String token) {
        String event = "data: {\"choices\":[{\"delta\":{\"content\":\"" + token + "\"}}]}\n\n";
        listener.onBodyPart(event.getBytes(StandardCharsets.UTF_8));
    }

    public static Consumer<EndpointResponseListener> streamCompletely(String token) {
        return listener -> {
            beginStream(listener);
            sendToken(listener, token);
            listener.onBodyPart("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
            listener.onComplete();
        };
    }

    public static EndpointFailureException createFailure(Kind kind) {
        return new EndpointFailureException(kind, "127.0.0.1:1", "scripted", null);
    }

    @Override
    public EndpointAttempt start(EndpointRequest request, EndpointResponseListener listener) {
        int attempt = requests.size();
        requests.add(request);
        cancelled.add(false);
        scripts.get(attempt).accept(listener);
        return new FakeAttempt(attempt);
    }

    private final class FakeAttempt implements EndpointAttempt {

        private final int attempt;

        FakeAttempt(int attempt) {
            this.attempt = attempt;
        }

        @Override
        public void cancel() {
            cancelled.set(attempt, true);
        }

        @Override
        public void setReading(boolean isReading) {
            // Scripts run synchronously.
        }
    }

    @Override
    public void close() {
        // Nothing to release.
    }
}
