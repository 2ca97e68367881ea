package org.cardamomthread.daemon.membership;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.cardamomthread.configuration.settings.Secret;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.node.NodeEntry;

/**
 * Receives the announcements of endpoints over HTTP and returns the endpoint's home. Thread-safe.
 */
public final class AnnouncementApi implements HttpHandler {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String PATH = "/v1/announcements";

    private final Secret endpointToken;
    private final MembershipService membership;
    private final long announcementIntervalMs;

    /**
     * Creates the handler.
     *
     * @param endpointToken the token that endpoints authenticate with
     * @param membership processes the announcements
     * @param announcementIntervalMs the interval, in milliseconds, at which endpoints are told to
     *     announce themselves
     */
    public AnnouncementApi(
            Secret endpointToken, MembershipService membership, long announcementIntervalMs) {
        this.endpointToken = endpointToken;
        this.membership = membership;
        this.announcementIntervalMs = announcementIntervalMs;
    }

    @Override
    public void handle(HttpExchange exchange) {
        ServerRequest call = exchange.getRequest();
        String requestId = call.getHeader("x-request-id").orElse("none");
        if (!call.path().equals(PATH) || !call.method().equals(HttpMethod.POST)) {
            respondWithProblem(exchange, requestId, 404, "not-found", "send POST " + PATH);
            return;
        }
        if (!call.getBearerToken().filter(endpointToken::matches).isPresent()) {
            respondWithProblem(
                    exchange, requestId, 401, "unauthorized", "present the endpoint token");
            return;
        }
        try {
            EndpointAnnouncement announcement = AnnouncementReader.read(call.body());
            membership
                    .receiveAnnouncement(announcement)
                    .whenComplete(
                            (home, failure) -> respondWithHome(exchange, requestId, home, failure));
        } catch (InvalidAnnouncementException failure) {
            respondWithProblem(
                    exchange, requestId, 400, "invalid-announcement", failure.getMessage());
        }
    }

    private void respondWithHome(
            HttpExchange exchange, String requestId, Optional<NodeEntry> home, Throwable failure) {
        if (failure != null) {
            respondWithProblem(exchange, requestId, 503, "stopping", "announce to another node");
            return;
        }
        ObjectNode body = MAPPER.createObjectNode();
        home.ifPresent(
                node -> {
                    body.put("home", node.id().value());
                    body.put("homeAddress", node.addresses().endpointAddress());
                });
        body.put("intervalMs", announcementIntervalMs);
        exchange.respond(
                ServerResponse.createJson(200, body.toString().getBytes(StandardCharsets.UTF_8)));
    }

    private static void respondWithProblem(
            HttpExchange exchange, String requestId, int status, String type, String detail) {
        ProblemDetail problem =
                ProblemDetail.createNotRun(status, type, "Announcement refused", detail);
        exchange.respond(problem.toResponse(requestId));
    }
}
