package org.cardamomthread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.Json;

/**
 * Executes orders, with or without fencing.
 *
 * <p>Each order identifier is executed once. With fencing, an order with a fencing number below the
 * highest one seen is rejected. Confined to the event loop thread of the server.
 */
final class OrderExecutor {

    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final boolean isFencing;
    private final long loadVersionMs;
    private final Runnable onStateChange;
    private final Map<String, Set<String>> versions = new TreeMap<>();
    private final Map<String, Set<String>> adapters = new TreeMap<>();
    private final Map<String, ObjectNode> acknowledgements = new HashMap<>();
    private final Set<String> kvTransferRequestIds = new HashSet<>();
    private final List<JsonNode> executedOrders = new ArrayList<>();
    private String role = "mixed";
    private long highestFencingNumber;

    OrderExecutor(
            Map<String, List<String>> services,
            boolean isFencing,
            long loadVersionMs,
            Runnable onStateChange) {
        services.forEach((service, loaded) -> versions.put(service, new TreeSet<>(loaded)));
        this.isFencing = isFencing;
        this.loadVersionMs = loadVersionMs;
        this.onStateChange = onStateChange;
    }

    void handle(Exchange exchange) throws IOException {
        JsonNode order = Json.read(exchange.body());
        String orderId = order.path("orderId").asText();
        long fencingNumber = order.path("fencingNumber").asLong();
        if (isFencing && fencingNumber < highestFencingNumber) {
            ObjectNode rejection = Json.object().put("highestFencingNumber", highestFencingNumber);
            exchange.reply(CONFLICT, rejection);
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        if (!acknowledgements.containsKey(orderId)) {
            acknowledgements.put(
                    orderId, Json.object().put("orderId", orderId).put("state", "accepted"));
            executedOrders.add(order);
            execute(exchange, order);
        }
        exchange.reply(OK, acknowledgements.get(orderId));
    }

    boolean serves(String service, String version) {
        return versions.getOrDefault(service, Set.of()).contains(version);
    }

    /** Returns whether the KV cache of a request was transferred, so that nothing is recomputed. */
    boolean hasImported(String requestId) {
        return kvTransferRequestIds.contains(requestId);
    }

    void describeServices(ArrayNode services) {
        versions.forEach(
                (service, loaded) ->
                        loaded.forEach(version -> addServiceVersion(services, service, version)));
    }

    ObjectNode state() {
        ObjectNode state = Json.object().put("role", role);
        state.put("highestFencingNumber", highestFencingNumber);
        state.putPOJO("kvRequests", kvTransferRequestIds);
        state.putPOJO("orders", executedOrders);
        describeServices(state.putArray("services"));
        return state;
    }

    private void addServiceVersion(ArrayNode services, String service, String version) {
        ArrayNode adapterNames =
                services.addObject()
                        .put("service", service)
                        .put("version", version)
                        .putArray("adapters");
        adapters.getOrDefault(service, Set.of()).forEach(adapterNames::add);
    }

    private void execute(Exchange exchange, JsonNode order) {
        String service = order.path("service").asText();
        String version = order.path("version").asText();
        switch (order.path("type").asText()) {
            case "load-version" ->
                    exchange.loop()
                            .schedule(
                                    () -> addLoaded(versions, service, version),
                                    loadVersionMs,
                                    TimeUnit.MILLISECONDS);
            case "unload-version" -> {
                versions.getOrDefault(service, new TreeSet<>()).remove(version);
                onStateChange.run();
            }
            case "load-adapter" -> addLoaded(adapters, service, order.path("adapter").asText());
            case "change-role" -> role = order.path("role").asText();
            case "export-kv", "import-kv" ->
                    kvTransferRequestIds.add(order.path("requestId").asText());
            default ->
                    throw new IllegalArgumentException(
                            "order type \"" + order.path("type").asText() + "\" is unknown");
        }
    }

    private void addLoaded(Map<String, Set<String>> loaded, String service, String name) {
        loaded.computeIfAbsent(service, added -> new TreeSet<>()).add(name);
        onStateChange.run();
    }
}
