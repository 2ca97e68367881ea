import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound runner of the platform: registers, reports and answers each request as a whole. */
final class Runner implements AutoCloseable {

    private static final long BEAT_MS = 1_200;

    /** Is told of each request that the runner begins to work on. */
    interface RunListener {
        void onRun(String attemptId, Http.Message request);
    }

    private final String id;
    private final String service;
    private final int slots;
    private final long workMs;
    private final List<String> controlIps;
    private final int controlPort;
    private final RunListener listener;
    private final ServerSocket server;
    private final long bornMs = System.currentTimeMillis();
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean isClosed;
    private int sequence;

    Runner(
            String id,
            String service,
            int slots,
            long workMs,
            List<String> controlIps,
            int controlPort,
            RunListener listener)
            throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.workMs = workMs;
        this.controlIps = controlIps;
        this.controlPort = controlPort;
        this.listener = listener;
        server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::accept);
        startDaemon(this::beat);
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        while (!isClosed) {
            sequence++;
            byte[] report =
                    ("{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
                                    + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":" + slots
                                    + ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + sequence
                                    + ",\"born\":" + bornMs + "}")
                            .getBytes(StandardCharsets.UTF_8);
            for (String ip : controlIps) {
                try {
                    Http.Message answer =
                            Http.call(
                                    ip,
                                    controlPort,
                                    "POST",
                                    "/Runners.Heartbeat/" + id,
                                    List.of("Content-Type: application/json"),
                                    report,
                                    1_000);
                    if (answer.status() / 100 == 2) {
                        break;
                    }
                } catch (IOException unreachable) {
                    // The next control node is called.
                }
            }
            try {
                Thread.sleep(BEAT_MS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket socket = server.accept();
                startDaemon(() -> serve(socket));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (true) {
                Http.Message request = Http.readMessage(socket.getInputStream());
                socket.getOutputStream().write(answer(request));
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has closed the channel.
        }
    }

    private byte[] answer(Http.Message request) throws InterruptedException {
        String attemptId = request.header("x-cardamomthread-attempt-id");
        String idHeader = "X-Cardamomthread-Attempt-Id: " + attemptId;
        if (!id.equals(request.header("x-cardamomthread-expect-runner"))) {
            return Http.encode(
                    "HTTP/1.1 421 Misdirected Request",
                    null,
                    List.of(idHeader, "X-Cardamomthread-Not-Executed: 1"),
                    new byte[0]);
        }
        if (running.incrementAndGet() > slots) {
            running.decrementAndGet();
            return Http.encode(
                    "HTTP/1.1 503 Service Unavailable",
                    null,
                    List.of(idHeader, "X-Cardamomthread-Not-Executed: 1", loadHeader()),
                    new byte[0]);
        }
        try {
            listener.onRun(attemptId, request);
            Thread.sleep(workMs);
        } finally {
            running.decrementAndGet();
        }
        return Http.encode(
                "HTTP/1.1 200 OK",
                null,
                List.of(idHeader, "X-Cardamomthread-Runner-Signature: " + id, loadHeader()),
                ("answer to " + attemptId).getBytes(StandardCharsets.UTF_8));
    }

    private String loadHeader() {
        return "X-Cardamomthread-Runner-Load: " + running.get() + ",0," + slots;
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        server.close();
    }
}
