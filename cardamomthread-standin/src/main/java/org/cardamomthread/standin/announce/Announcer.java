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
 * Announces an endpoint to one of several nodes at an interval, and to the next one after a
 * failure.
 *
 * <p>Invariant: sequence numbers rise with each announcement. Used on the one thread of the server
 * only.
 */
public final class Announcer {

    /** Time between two announcements. */
    public static final long INTERVAL_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(Announcer.class);
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int OK = 200;

    private final List<String> nodes;
    private final String token;
    private final EventLoop loop;
    private final Supplier<ObjectNode> announcement;
    private final AsyncHttpClient client;
    private String home = "";
    private int next;
    private long sequence;

    /**
     * Creates an announcer.
     *
     * @param nodes endpoint listeners of nodes, host:port; none for no announcements
     * @param token the token that endpoints present
     * @param loop the thread of the server
     * @param announcement gives the present announcement without its sequence
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

    /** Begins to announce. */
    public void start() {
        if (!nodes.isEmpty()) {
            loop.scheduleWithFixedDelay(this::announce, 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Announces once more at once, because the state changed. */
    public void announce() {
        if (nodes.isEmpty()) {
            return;
        }
        sequence++;
        String address = home.isEmpty() ? nodes.get(next) : home;
        byte[] body = Json.write(announcement.get().put("sequence", sequence));
        client.preparePost("http://" + address + "/v1/announcements")
                .setHeader("Authorization", "Bearer " + token)
                .setHeader("Content-Type", "application/json")
                .setBody(body)
                .execute()
                .toCompletableFuture()
                .whenCompleteAsync((response, failure) -> finish(address, response, failure), loop);
    }

    private void finish(String address, Response response, Throwable failure) {
        if (failure != null || response.getStatusCode() != OK) {
            LOG.warn(
                    "announcement to {} failed: {}",
                    address,
                    failure == null ? response.getResponseBody() : failure.getMessage());
            home = "";
            next = (next + 1) % nodes.size();
            return;
        }
        try {
            JsonNode answer = Json.read(response.getResponseBodyAsBytes());
            home = answer.path("homeAddress").asText("");
        } catch (IOException e) {
            LOG.warn("answer of {} is not JSON", address, e);
        }
    }
}
