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
 * Carries out orders, with or without fencing.
 *
 * <p>Invariant: an order identifier takes effect once; with fencing, a number below the highest one
 * seen takes none. Used on the one thread of the server only.
 */
final class OrderBook {

    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final boolean isFencing;
    private final long loadVersionMs;
    private final Runnable changed;
    private final Map<String, Set<String>> versions = new TreeMap<>();
    private final Map<String, Set<String>> adapters = new TreeMap<>();
    private final Map<String, ObjectNode> answers = new HashMap<>();
    private final Set<String> kvRequests = new HashSet<>();
    private final List<JsonNode> carriedOut = new ArrayList<>();
    private String role = "mixed";
    private long highestFencingNumber;

    OrderBook(
            Map<String, List<String>> services,
            boolean isFencing,
            long loadVersionMs,
            Runnable changed) {
        services.forEach((service, loaded) -> versions.put(service, new TreeSet<>(loaded)));
        this.isFencing = isFencing;
        this.loadVersionMs = loadVersionMs;
        this.changed = changed;
    }

    void order(Exchange exchange) throws IOException {
        JsonNode order = Json.read(exchange.body());
        String orderId = order.path("orderId").asText();
        long number = order.path("fencingNumber").asLong();
        if (isFencing && number < highestFencingNumber) {
            ObjectNode refused = Json.object().put("highestFencingNumber", highestFencingNumber);
            exchange.reply(CONFLICT, refused);
            return;
        }
        highestFencingNumber = Math.max(highestFencingNumber, number);
        if (!answers.containsKey(orderId)) {
            answers.put(orderId, Json.object().put("orderId", orderId).put("state", "accepted"));
            carriedOut.add(order);
            carryOut(exchange, order);
        }
        exchange.reply(OK, answers.get(orderId));
    }

    boolean serves(String service, String version) {
        return versions.getOrDefault(service, Set.of()).contains(version);
    }

    /** Tells whether the KV cache of a request was imported, so that nothing is recomputed. */
    boolean hasImported(String requestId) {
        return kvRequests.contains(requestId);
    }

    void describeServices(ArrayNode services) {
        versions.forEach(
                (service, loaded) ->
                        loaded.forEach(version -> describe(services, service, version)));
    }

    ObjectNode state() {
        ObjectNode state = Json.object().put("role", role);
        state.put("highestFencingNumber", highestFencingNumber);
        state.putPOJO("kvRequests", kvRequests);
        state.putPOJO("orders", carriedOut);
        describeServices(state.putArray("services"));
        return state;
    }

    private void describe(ArrayNode services, String service, String version) {
        ArrayNode names =
                services.addObject()
                        .put("service", service)
                        .put("version", version)
                        .putArray("adapters");
        adapters.getOrDefault(service, Set.of()).forEach(names::add);
    }

    private void carryOut(Exchange exchange, JsonNode order) {
        String service = order.path("service").asText();
        String version = order.path("version").asText();
        switch (order.path("type").asText()) {
            case "load-version" ->
                    exchange.loop()
                            .schedule(
                                    () -> load(versions, service, version),
                                    loadVersionMs,
                                    TimeUnit.MILLISECONDS);
            case "unload-version" -> {
                versions.getOrDefault(service, new TreeSet<>()).remove(version);
                changed.run();
            }
            case "load-adapter" -> load(adapters, service, order.path("adapter").asText());
            case "change-role" -> role = order.path("role").asText();
            case "export-kv", "import-kv" -> kvRequests.add(order.path("requestId").asText());
            default ->
                    throw new IllegalArgumentException(
                            "order type \"" + order.path("type").asText() + "\" is not known");
        }
    }

    private void load(Map<String, Set<String>> loaded, String service, String name) {
        loaded.computeIfAbsent(service, added -> new TreeSet<>()).add(name);
        changed.run();
    }
}
