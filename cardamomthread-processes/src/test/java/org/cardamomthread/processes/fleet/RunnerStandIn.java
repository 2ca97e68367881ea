package org.cardamomthread.processes.fleet;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.cardamomthread.processes.Ports;

/**
 * A stand-in for an endpoint of the users' platform that announces itself, serves requests and
 * records each run. Safe for use by several threads.
 */
final class RunnerStandIn implements AutoCloseable {

    /** Number of events in a stream, sent at intervals of {@link #EVENT_INTERVAL_MS}. */
    static final int EVENTS_PER_STREAM = 20;

    /** Time after which a request whose path ends with {@code /slow} is answered. */
    static final long SLOW_RESPONSE_MS = 9_000;

    private static final long EVENT_INTERVAL_MS = 60;
    private static final long ANNOUNCEMENT_INTERVAL_MS = 300;
    private static final String ID_HEADER = "X-Cardamomthread-Attempt-Id";

    private final String id;
    private final int port = Ports.reserve();
    private final String announcedAddress;
    private final List<String> controlAddresses;
    private final HttpServer server;
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final ScheduledExecutorService announcer = Executors.newScheduledThreadPool(1);
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final AtomicInteger disconnects = new AtomicInteger();
    private final long startedAtMs = System.currentTimeMillis();
    private volatile LinkProxy proxy;
    private int sequence;
    private int controlIndex;

    RunnerStandIn(String id, List<String> controlAddresses, boolean isBehindProxy)
            throws IOException {
        this.id = id;
        this.controlAddresses = controlAddresses;
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 100);
        server.setExecutor(workers);
        server.createContext("/", this::run);
        server.start();
        if (isBehindProxy) {
            proxy = new LinkProxy(port);
        }
        announcedAddress = "127.0.0.1:" + (isBehindProxy ? proxy.port() : port);
        announcer.scheduleWithFixedDelay(
                this::announce, 0, ANNOUNCEMENT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns the accounts of the runs of each request by request id, in the order of the runs. */
    Map<String, List<String>> runs() {
        return runs;
    }

    /** Returns how many endless responses were ended by the gateway. */
    int disconnects() {
        return disconnects.get();
    }

    LinkProxy proxy() {
        return proxy;
    }

    static String expectedBody(String requestId) {
        return "answer to " + requestId;
    }

    static String expectedStream(String requestId) {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= EVENTS_PER_STREAM; i++) {
            text.append(event(requestId, i));
        }
        return text.toString();
    }

    @Override
    public void close() {
        announcer.shutdownNow();
        server.stop(0);
        workers.shutdownNow();
        if (proxy != null) {
            proxy.close();
        }
    }

    private static String event(String requestId, int number) {
        return "id: " + number + "\ndata: " + requestId + "\n\n";
    }

    private void run(HttpExchange exchange) throws IOException {
        String requestId = exchange.getRequestHeaders().getFirst(ID_HEADER);
        String account = exchange.getRequestHeaders().getFirst("X-Cardamomthread-Tenant");
        exchange.getRequestBody().readAllBytes();
        runs.computeIfAbsent(requestId, key -> new ArrayList<>()).add(String.valueOf(account));
        exchange.getResponseHeaders().set(ID_HEADER, requestId);
        exchange.getResponseHeaders().set("X-Cardamomthread-Runner-Signature", "signed");
        if (exchange.getRequestURI().getPath().endsWith("/endless")) {
            sendUntilDisconnected(exchange);
            return;
        }
        if (exchange.getRequestURI().getPath().endsWith("/slow")) {
            sleep(SLOW_RESPONSE_MS);
        }
        if (exchange.getRequestURI().getPath().startsWith("/stream/")) {
            stream(exchange, requestId);
            return;
        }
        byte[] body = expectedBody(requestId).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
        }
    }

    private void sendUntilDisconnected(HttpExchange exchange) throws IOException {
        int status = exchange.getRequestURI().getPath().startsWith("/again/") ? 500 : 200;
        exchange.sendResponseHeaders(status, 0);
        byte[] part = new byte[64 * 1024];
        try (OutputStream out = exchange.getResponseBody()) {
            while (true) {
                out.write(part);
            }
        } catch (IOException disconnected) {
            disconnects.incrementAndGet();
        }
    }

    /** Streams all events, or those after the event in the Last-Event-Id header. */
    private void stream(HttpExchange exchange, String requestId) throws IOException {
        String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        exchange.sendResponseHeaders(200, 0);
        try (OutputStream out = exchange.getResponseBody()) {
            for (int i = first; i <= EVENTS_PER_STREAM; i++) {
                out.write(event(requestId, i).getBytes(StandardCharsets.UTF_8));
                out.flush();
                Thread.sleep(EVENT_INTERVAL_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void announce() {
        sequence++;
        String report =
                """
                {"service":"s","address":"%s","zone":"perth-a","version":"v1","slots":8,
                 "state":"ready","coldRemainingMs":0,"born":%d,"sequence":%d}
                """
                        .formatted(announcedAddress, startedAtMs, sequence);
        for (int i = 0; i < controlAddresses.size(); i++) {
            if (sendReport(report, controlAddresses.get(controlIndex % controlAddresses.size()))) {
                return;
            }
            controlIndex++;
        }
    }

    private boolean sendReport(String report, String address) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/Runners.Heartbeat/" + id))
                        .timeout(Duration.ofSeconds(1))
                        .POST(HttpRequest.BodyPublishers.ofString(report))
                        .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException unreachable) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
