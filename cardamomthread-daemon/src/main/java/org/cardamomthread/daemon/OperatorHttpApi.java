package org.cardamomthread.daemon;

import java.nio.charset.StandardCharsets;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.http.ServerResponse;
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
        ServerRequest call = exchange.getRequest();
        OperatorRequest request =
                new OperatorRequest(
                        call.method().name(),
                        call.path(),
                        call.getHeader("authorization"),
                        new String(call.body(), StandardCharsets.UTF_8));
        api.handle(request).thenAccept(response -> exchange.respond(createReply(response)));
    }

    private static ServerResponse createReply(OperatorResponse response) {
        ServerResponse reply =
                ServerResponse.create(
                        response.status(),
                        response.contentType(),
                        response.body().getBytes(StandardCharsets.UTF_8));
        response.headers().forEach(reply::setHeader);
        return reply;
    }
}
