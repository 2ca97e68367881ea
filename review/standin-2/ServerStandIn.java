import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A server of the service app, which reports itself and answers as a behaviour says. */
final class ServerStandIn implements AutoCloseable {

    /** A request as it arrived. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("x-cardamomthread-attempt-id", "none");
        }
    }

    /** Answers a request on its channel, which is closed afterwards. */
    interface Behaviour {
        void answer(Request request, OutputStream out, Socket channel) throws Exception;
    }

    private final String id;
    private final String ip;
    private final int slots;
    private final String zone;
    private final ServerSocket listener;
    private final List<String> controlIps;
    private final int controlPort;
    private final Behaviour behaviour;
    private final Record record;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private final long bornMs = System.currentTimeMillis();
    private volatile boolean isClosed;

    ServerStandIn(
            String id,
            String ip,
            int slots,
            List<String> controlIps,
            int controlPort,
            Behaviour behaviour,
            Record record)
            throws IOException {
        this(id, ip, slots, "zone-a", controlIps, controlPort, behaviour, record);
    }

    ServerStandIn(
            String id,
            String ip,
            int slots,
            String zone,
            List<String> controlIps,
            int controlPort,
            Behaviour behaviour,
            Record record)
            throws IOException {
        this.zone = zone;
        this.id = id;
        this.ip = ip;
        this.slots = slots;
        this.controlIps = controlIps;
        this.controlPort = controlPort;
        this.behaviour = behaviour;
        this.record = record;
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 200);
        threads.execute(this::accept);
        threads.execute(this::report);
    }

    private void accept() {
        while (!isClosed) {
            try {
                Socket channel = listener.accept();
                channel.setTcpNoDelay(true);
                threads.execute(() -> serve(channel));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket channel) {
        try (channel) {
            Request request = read(channel.getInputStream());
            if (request == null) {
                return;
            }
            String expected = request.headers().get("x-cardamomthread-expect-runner");
            OutputStream out = channel.getOutputStream();
            if (expected != null && !expected.equals(id)) {
                out.write(head(421, request.id(), "X-Cardamomthread-Not-Executed: 1\r\nContent-Length: 0\r\n"));
                return;
            }
            behaviour.answer(request, out, channel);
            out.flush();
        } catch (Exception e) {
            record.add("server " + id + ": channel ended: " + e);
        }
    }

    static byte[] head(int status, String requestId, String more) {
        return ("HTTP/1.1 " + status + " Answer\r\nX-Cardamomthread-Attempt-Id: " + requestId + "\r\n" + more + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] signedHead(int status, String requestId, String more) {
        return head(status, requestId, "X-Cardamomthread-Runner-Signature: sig-" + requestId + "\r\n" + more);
    }

    private static Request read(InputStream in) throws IOException {
        String line = Call.readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] words = line.split(" ");
        Map<String, String> headers = new LinkedHashMap<>();
        for (String next = Call.readLine(in); next != null && !next.isEmpty(); next = Call.readLine(in)) {
            int colon = next.indexOf(':');
            headers.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.write(in.readNBytes(length));
        return new Request(words[0], words[1], headers, body.toByteArray());
    }

    private void report() {
        long sequence = 0;
        int node = 0;
        while (!isClosed) {
            sequence++;
            String body =
                    "{\"service\":\"app\",\"address\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\",\"coldRemainingMs\":0,\"born\":%d,\"sequence\":%d}"
                            .formatted(ip, listener.getLocalPort(), zone, slots, bornMs, sequence);
            for (int i = 0; i < controlIps.size(); i++) {
                Call.Answer answer =
                        Call.send(
                                controlIps.get(node % controlIps.size()),
                                controlPort,
                                "POST",
                                "/Runners.Heartbeat/" + id,
                                Map.of("Host", "control", "Content-Type", "application/json"),
                                body.getBytes(),
                                1_000);
                if (answer.status() == 200) {
                    break;
                }
                node++;
            }
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        listener.close();
        threads.shutdownNow();
    }
}
