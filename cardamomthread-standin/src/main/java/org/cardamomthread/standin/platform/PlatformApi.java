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
 * Stands in for the platform's cloud API.
 *
 * <p>Besides the calls of the platform it takes {@code POST /v1/notices} and {@code POST
 * /v1/prices} to set what it answers, and {@code POST /v1/refusals} with {@code {"count"}} to
 * refuse starts. Invariant: notices are numbered from 1 without gaps. Used on the one thread of the
 * server only.
 */
public final class PlatformApi implements ExchangeHandler {

    private static final String HOSTS = "/v1/hosts";
    private static final String WEIGHTS = "/v1/weights/";
    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY = 429;
    private static final int REFUSED = 503;
    private static final long WEIGHT_WINDOW_MS = 1_000;

    /**
     * Describes a host.
     *
     * @param hostId the host
     * @param endpointClass its class
     * @param dataCentre where it stands
     * @param priceClass reclaimable or on-demand
     */
    record Host(String hostId, String endpointClass, String dataCentre, String priceClass) {}

    /**
     * Describes a price.
     *
     * @param dataCentre where it holds
     * @param endpointClass for what class
     * @param priceClass reclaimable or on-demand
     * @param pricePerHour in the currency of the deployment
     */
    record Price(String dataCentre, String endpointClass, String priceClass, double pricePerHour) {}

    /**
     * Describes a notice of reclaim.
     *
     * @param sequence its number
     * @param hostId the host
     * @param endpointId the endpoint on it
     * @param dataCentre where it stands
     * @param reclaimAtMs wall-clock time at which it is gone
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
    private int created;
    private int refusals;
    private long windowStartMs;
    private int transfersInWindow;

    /**
     * Creates a platform without hosts.
     *
     * @param timeSource the clock
     * @param transfersPerSecond transfers of weights that it permits a second
     */
    public PlatformApi(TimeSource timeSource, int transfersPerSecond) {
        this.timeSource = timeSource;
        this.transfersPerSecond = transfersPerSecond;
    }

    @Override
    public void handle(Exchange exchange) throws IOException {
        String call = exchange.method() + " " + exchange.path();
        switch (call) {
            case "GET /v1/hosts" -> exchange.reply(OK, hosts.values());
            case "POST /v1/hosts" -> startHost(exchange);
            case "GET /v1/prices" -> exchange.reply(OK, prices.values());
            case "POST /v1/prices" -> setPrice(exchange);
            case "GET /v1/notices" -> listNotices(exchange);
            case "POST /v1/notices" -> addNotice(exchange);
            case "POST /v1/refusals" -> {
                refusals = Json.read(exchange.body()).path("count").asInt();
                exchange.reply(OK, Json.object().put("count", refusals));
            }
            default -> handleNamed(exchange);
        }
    }

    private void handleNamed(Exchange exchange) {
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
        Host wanted = Json.read(exchange.body(), Host.class);
        if (refusals > 0) {
            refusals--;
            exchange.reply(REFUSED, Json.object().put("detail", "no capacity of this class"));
            return;
        }
        created++;
        Host host =
                new Host(
                        "host-" + created,
                        wanted.endpointClass(),
                        wanted.dataCentre(),
                        wanted.priceClass());
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
        Notice given = Json.read(exchange.body(), Notice.class);
        Notice numbered =
                new Notice(
                        notices.size() + 1L,
                        given.hostId(),
                        given.endpointId(),
                        given.dataCentre(),
                        given.reclaimAtMs());
        notices.add(numbered);
        exchange.reply(OK, numbered);
    }

    private void listNotices(Exchange exchange) {
        long after = Long.parseLong(exchange.query("after", "0"));
        ArrayNode later = Json.object().putArray("notices");
        notices.stream().filter(notice -> notice.sequence() > after).forEach(later::addPOJO);
        exchange.reply(OK, later);
    }

    private void permitTransfer(Exchange exchange) {
        long nowMs = timeSource.monotonicMs();
        if (nowMs - windowStartMs >= WEIGHT_WINDOW_MS) {
            windowStartMs = nowMs;
            transfersInWindow = 0;
        }
        if (transfersInWindow >= transfersPerSecond) {
            exchange.setHeader("Retry-After", "1");
            exchange.reply(TOO_MANY, Json.object().put("detail", "too many transfers"));
            return;
        }
        transfersInWindow++;
        exchange.reply(OK, Json.object().put("permitted", true));
    }
}
