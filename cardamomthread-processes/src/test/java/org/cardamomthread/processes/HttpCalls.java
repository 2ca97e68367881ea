package org.cardamomthread.processes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Sends HTTP requests to processes on loopback addresses. Safe for use by several threads. */
final class HttpCalls {

    static final String OPERATOR_TOKEN = "operator-token-1";
    static final String ENDPOINT_TOKEN = "endpoint-token-1";
    static final String CALLER_TOKEN = "bars-token-1";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();

    JsonNode get(int port, String path) throws IOException, InterruptedException {
        HttpRequest request = request(port, path, OPERATOR_TOKEN).GET().build();
        return MAPPER.readTree(send(request).body());
    }

    int status(int port, String path) throws IOException, InterruptedException {
        return send(request(port, path, OPERATOR_TOKEN).GET().build()).statusCode();
    }

    HttpResponse<String> postAsOperator(int port, String path, String body)
            throws IOException, InterruptedException {
        return send(post(port, path, OPERATOR_TOKEN, body, Map.of()));
    }

    HttpResponse<String> call(int port, String path, String body, Map<String, String> headers)
            throws IOException, InterruptedException {
        return send(post(port, path, CALLER_TOKEN, body, headers));
    }

    CompletableFuture<HttpResponse<String>> callAsync(
            int port, String path, String body, Map<String, String> headers) {
        return client.sendAsync(
                post(port, path, CALLER_TOKEN, body, headers),
                HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> callWithToken(String token, int port, String path, String body)
            throws IOException, InterruptedException {
        return send(post(port, path, token, body, Map.of()));
    }

    /** Activates a fault on a stand-in; fails if the stand-in rejects it. */
    void injectFault(int port, String fault) throws IOException, InterruptedException {
        HttpResponse<String> response = send(post(port, "/v1/faults", "", fault, Map.of()));
        if (response.statusCode() != 200) {
            throw new IOException("the stand-in rejected the fault: " + response.body());
        }
    }

    /** Deactivates all faults of a stand-in. */
    void clearFaults(int port) throws IOException, InterruptedException {
        send(request(port, "/v1/faults", "").DELETE().build());
    }

    static JsonNode json(String text) throws IOException {
        return MAPPER.readTree(text);
    }

    private HttpResponse<String> send(HttpRequest request)
            throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest post(
            int port, String path, String token, String body, Map<String, String> headers) {
        HttpRequest.Builder builder =
                request(port, path, token).POST(HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(builder::setHeader);
        return builder.build();
    }

    private static HttpRequest.Builder request(int port, String path, String token) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + token);
    }
}
