package org.cardamomthread.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.standin.http.Exchange;
import org.cardamomthread.standin.http.ExchangeHandler;
import org.cardamomthread.standin.http.Json;

/**
 * Simulates the cloud API of the platform.
 *
 * <p>Tests control it through {@code POST /v1/notices} and {@code POST /v1/prices}, which set the
 * data it returns, and {@code POST /v1/refusals} with {@code {"count"}}, which makes it refuse the
 * next starts of hosts. Notices are numbered from 1 without gaps. Confined to the event loop thread
 * of the server.
 */
public final class PlatformApi implements ExchangeHandler {

    private static final String HOSTS = "/v1/hosts";
    private static final String WEIGHTS = "/v1/weights/";
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long TRANSFER_WINDOW_MS = 1_000;

    /**
     * A host.
     *
     * @param hostId identifier of the host
     * @param endpointClass class of the endpoint on it
     * @param dataCentre data centre of the host
     * @param priceClass {@code reclaimable} or {@code on-demand}
     */
    record Host(String hostId, String endpointClass, String dataCentre, String priceClass) {}

    /**
     * The price of a class of endpoints in a data centre.
     *
     * @param dataCentre the data centre
     * @param endpointClass the class of endpoints
     * @param priceClass {@code reclaimable} or {@code on-demand}
     * @param pricePerHour price per hour, in the currency of the deployment
     */
    record Price(String dataCentre, String endpointClass, String priceClass, double pricePerHour) {}

    /**
     * A notice that the platform will reclaim a host.
     *
     * @param sequence number of the notice
     * @param hostId identifier of the host
     * @param endpointId identifier of the endpoint on the host
     * @param dataCentre data centre of the host
     * @param reclaimAtMs wall-clock time at which the host is reclaimed
     */
    record Notice(
            long sequence,
            String hostId,
            String endpointId,
            String dataCentre,
            @JsonProperty(required = true) long reclaimAtMs) {}

    private final TimeSource timeSource;
    private final int transfersPerSecond;
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final Map<String, Price> prices = new LinkedHashMap<>();
    private final List<Notice> notices = new ArrayList<>();
    private int startedHosts;
    private int remainingRefusals;
    private long windowStartMs;
    private int transfersInWindow;

    /**
     * Creates a platform with no hosts, prices or notices.
     *
     * @param timeSource the clock for the limit on transfers
     * @param transfersPerSecond number of weight transfers permitted per second
     */
    public PlatformApi(TimeSource timeSource, int transfersPerSecond) {
        this.timeSource = timeSource;
        this.transfersPerSecond = transfersPerSecond;
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        String route = exchange.method() + " " + exchange.path();
        switch (route) {
            case "GET /v1/hosts" -> exchange.reply(OK, hosts.values());
            case "POST /v1/hosts" -> startHost(exchange);
            case "GET /v1/prices" -> exchange.reply(OK, prices.values());
            case "POST /v1/prices" -> setPrice(exchange);
            case "GET /v1/notices" -> listNotices(exchange);
            case "POST /v1/notices" -> addNotice(exchange);
            case "POST /v1/refusals" -> {
                remainingRefusals = Json.read(exchange.body()).path("count").asInt();
                exchange.reply(OK, Json.object().put("count", remainingRefusals));
            }
            default -> handlePathWithId(exchange);
        }
    }

    private void handlePathWithId(Exchange exchange) {
        String path = exchange.path();
        if (exchange.method().equals("DELETE") && path.startsWith(HOSTS + "/")) {
            boolean isKnown = hosts.remove(path.substring(HOSTS.length() + 1)) != null;
            exchange.reply(isKnown ? OK : NOT_FOUND, Json.object());
        } else if (exchange.method().equals("POST") && path.startsWith(WEIGHTS)) {
            permitTransfer(exchange);
        } else {
            exchange.reply(NOT_FOUND, Json.object().put("detail", "no such path"));
        }
    }

    private void startHost(Exchange exchange) throws IOException {
        Host requested = Json.read(exchange.body(), Host.class);
        if (remainingRefusals > 0) {
            remainingRefusals--;
            exchange.reply(
                    SERVICE_UNAVAILABLE, Json.object().put("detail", "no capacity of this class"));
            return;
        }
        startedHosts++;
        Host host =
                new Host(
                        "host-" + startedHosts,
                        requested.endpointClass(),
                        requested.dataCentre(),
                        requested.priceClass());
        hosts.put(host.hostId(), host);
        exchange.reply(CREATED, host);
    }

    private void setPrice(Exchange exchange) throws IOException {
        Price price = Json.read(exchange.body(), Price.class);
        String key = price.dataCentre() + "/" + price.endpointClass() + "/" + price.priceClass();
        prices.put(key, price);
        exchange.reply(OK, price);
    }

    private void addNotice(Exchange exchange) throws IOException {
        Notice received = Json.read(exchange.body(), Notice.class);
        Notice numbered =
                new Notice(
                        notices.size() + 1L,
                        received.hostId(),
                        received.endpointId(),
                        received.dataCentre(),
                        received.reclaimAtMs());
        notices.add(numbered);
        exchange.reply(OK, numbered);
    }

    private void listNotices(Exchange exchange) {
        long after = Long.parseLong(exchange.queryParameter("after", "0"));
        ArrayNode later = Json.object().putArray("notices");
        notices.stream().filter(notice -> notice.sequence() > after).forEach(later::addPOJO);
        exchange.reply(OK, later);
    }

    private void permitTransfer(Exchange exchange) {
        long nowMs = timeSource.monotonicMs();
        if (nowMs - windowStartMs >= TRANSFER_WINDOW_MS) {
            windowStartMs = nowMs;
            transfersInWindow = 0;
        }
        if (transfersInWindow >= transfersPerSecond) {
            exchange.setHeader("Retry-After", "1");
            exchange.reply(TOO_MANY_REQUESTS, Json.object().put("detail", "too many transfers"));
            return;
        }
        transfersInWindow++;
        exchange.reply(OK, Json.object().put("permitted", true));
    }
}
