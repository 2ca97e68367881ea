package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A runner of a plain service: it reports itself to the control nodes and answers each request
 * after its work time, with its identifier and a signature. Every request that it begins to work
 * on is recorded.
 */
final class Runner implements AutoCloseable {

    private static final long HEARTBEAT_MS = 1_200;

    /** A request that the runner has begun to work on. */
    record Run(long atMs, String id, String requestLine, String tenant, int bodyBytes) {}

    final String id;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Fleet fleet;
    private final String service;
    private final String zone;
    private final long workMs;
    private final long bornMs = System.currentTimeMillis();
    private final ServerSocket server;
    private volatile boolean isClosed;
    private int sequence;

    Runner(Fleet fleet, String id, String service, String zone, long workMs) throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.workMs = workMs;
        server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        daemon(this::report);
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket socket = server.accept();
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                answer(request, out);
            }
        } catch (IOException e) {
            fleet.record.add("%s: a connection ended: %s", id, e.getMessage());
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException {
        String requestId = request.header("X-Cardamomthread-Attempt-Id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Cardamomthread-Attempt-Id", String.valueOf(requestId));
        String expected = request.header("X-Cardamomthread-Expect-Runner");
        if (expected != null && !expected.equals(id)) {
            Http.write(out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return;
        }
        Run run =
                new Run(
                        fleet.record.nowMs(),
                        requestId,
                        request.firstLine(),
                        request.header("X-Cardamomthread-Tenant"),
                        request.body().length);
        runs.add(run);
        fleet.record.add("%s runs %s: %s, tenant %s, %d bytes", id, requestId,
                request.firstLine(), run.tenant(), run.bodyBytes());
        sleep(workMs);
        headers.put("X-Cardamomthread-Runner-Signature", id + "." + requestId);
        headers.put("X-Cardamomthread-Runner-Id", id);
        Http.write(out, "HTTP/1.1 200 OK", headers,
                ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
    }

    private void report() {
        int node = 0;
        while (!isClosed) {
            sequence++;
            String body =
                    String.format(
                            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"%s\","
                                    + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                                    + "\"coldRemainingMs\":0,\"sequence\":%d,\"born\":%d}",
                            service, server.getLocalPort(), zone, sequence, bornMs);
            for (int i = 0; i < fleet.controlNodes && !send(node, body); i++) {
                node = (node + 1) % fleet.controlNodes;
            }
            sleep(HEARTBEAT_MS);
        }
    }

    private boolean send(int node, String body) {
        try {
            Http.Message answer =
                    Http.call(
                            Fleet.controlIp(node),
                            fleet.controlPort,
                            "POST /Runners.Heartbeat/" + id + " HTTP/1.1",
                            Map.of("Host", "control", "Content-Type", "application/json"),
                            body.getBytes(StandardCharsets.UTF_8),
                            1_000);
            return answer != null && answer.status() / 100 == 2;
        } catch (IOException e) {
            return false;
        }
    }

    static void sleep(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        isClosed = true;
        try {
            server.close();
        } catch (IOException e) {
            fleet.record.add("%s: closing failed: %s", id, e.getMessage());
        }
    }
}
