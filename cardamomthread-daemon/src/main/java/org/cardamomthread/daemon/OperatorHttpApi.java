package org.cardamomthread.daemon;

import java.nio.charset.StandardCharsets;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.operator.OperatorApi;
import org.cardamomthread.daemon.operator.OperatorRequest;
import org.cardamomthread.daemon.operator.OperatorResponse;

/** Serves the operator API over HTTP. Thread-safe. */
final class OperatorHttpApi implements HttpHandler {

    private final OperatorApi api;

    OperatorHttpApi(OperatorApi api) {
        this.api = api;
    }

    @Override
    public void handle(HttpExchange exchange) {
        HttpCall call = exchange.getCall();
        OperatorRequest request =
                new OperatorRequest(
                        call.method().name(),
                        call.path(),
                        call.getHeader("authorization"),
                        new String(call.body(), StandardCharsets.UTF_8));
        api.handle(request).thenAccept(response -> exchange.respond(createReply(response)));
    }

    private static HttpReply createReply(OperatorResponse response) {
        HttpReply reply =
                HttpReply.create(
                        response.status(),
                        response.contentType(),
                        response.body().getBytes(StandardCharsets.UTF_8));
        response.headers().forEach(reply::with);
        return reply;
    }
}
