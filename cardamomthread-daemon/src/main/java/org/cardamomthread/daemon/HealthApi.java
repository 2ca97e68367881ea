package org.cardamomthread.daemon;

import java.util.function.BooleanSupplier;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.daemon.telemetry.NodeMetrics;

/**
 * Serves liveness, readiness and metrics, and passes other calls to the next handler.
 *
 * <p>Thread-safe.
 */
final class HealthApi implements HttpHandler {

    private final NodeMetrics metrics;
    private final BooleanSupplier isReady;
    private final HttpHandler next;

    HealthApi(NodeMetrics metrics, BooleanSupplier isReady, HttpHandler next) {
        this.metrics = metrics;
        this.isReady = isReady;
        this.next = next;
    }

    @Override
    public void handle(HttpExchange exchange) {
        switch (exchange.getRequest().path()) {
            case "/healthz" -> exchange.respond(ServerResponse.createText(200, "ok\n"));
            case "/readyz" -> exchange.respond(createReadinessReply());
            case "/metrics" ->
                    exchange.respond(
                            ServerResponse.create(
                                    200,
                                    "text/plain; version=0.0.4; charset=utf-8",
                                    metrics.render()));
            default -> next.handle(exchange);
        }
    }

    private ServerResponse createReadinessReply() {
        return isReady.getAsBoolean()
                ? ServerResponse.createText(200, "ready\n")
                : ServerResponse.createText(503, "not ready\n");
    }
}
