package org.cardamomthread.standin.announce;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.cardamomthread.standin.http.Json;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodically announces an endpoint to its home node, and fails over to the next configured node.
 *
 * <p>The sequence number increases with each announcement. Confined to the event loop thread of the
 * server.
 */
public final class Announcer {

    /** Time between two announcements. */
    public static final long ANNOUNCEMENT_INTERVAL_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(Announcer.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final List<String> nodes;
    private final String token;
    private final EventLoop loop;
    private final Supplier<ObjectNode> announcement;
    private final AsyncHttpClient client;
    private String homeAddress = "";
    private int nextNodeIndex;
    private long sequence;

    /**
     * Creates an announcer.
     *
     * @param nodes endpoint listeners of the nodes, host:port; if empty, nothing is announced
     * @param token the bearer token of the endpoints
     * @param loop the event loop of the server
     * @param announcement supplies the current announcement without its sequence
     */
    public Announcer(
            List<String> nodes, String token, EventLoop loop, Supplier<ObjectNode> announcement) {
        this.nodes = List.copyOf(nodes);
        this.token = token;
        this.loop = loop;
        this.announcement = announcement;
        client =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setMaxRequestRetry(0)
                                .setConnectTimeout(TIMEOUT)
                                .setRequestTimeout(TIMEOUT));
    }

    /** Starts the periodic announcements. */
    public void start() {
        if (!nodes.isEmpty()) {
            loop.scheduleWithFixedDelay(
                    this::announce, 0, ANNOUNCEMENT_INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Sends an announcement immediately, such as after a change of state. */
    public void announce() {
        if (nodes.isEmpty()) {
            return;
        }
        sequence++;
        String address = homeAddress.isEmpty() ? nodes.get(nextNodeIndex) : homeAddress;
        byte[] body = Json.write(announcement.get().put("sequence", sequence));
        client.preparePost("http://" + address + "/v1/announcements")
                .setHeader("Authorization", "Bearer " + token)
                .setHeader("Content-Type", "application/json")
                .setBody(body)
                .execute()
                .toCompletableFuture()
                .whenCompleteAsync(
                        (response, failure) -> handleResponse(address, response, failure), loop);
    }

    private void handleResponse(String address, Response response, Throwable failure) {
        if (failure != null || response.getStatusCode() != OK) {
            LOG.warn(
                    "announcement to {} failed: {}",
                    address,
                    failure == null ? response.getResponseBody() : failure.getMessage());
            homeAddress = "";
            nextNodeIndex = (nextNodeIndex + 1) % nodes.size();
            return;
        }
        try {
            JsonNode body = Json.read(response.getResponseBodyAsBytes());
            homeAddress = body.path("homeAddress").asText("");
        } catch (IOException e) {
            LOG.warn("response to the announcement to {} is not valid JSON", address, e);
        }
    }
}
