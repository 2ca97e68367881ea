import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One tenant sends six times its usual, and some of its clients leave before they are answered.
 * Counts the tokens of the requests that runners begin, in each window of the quota.
 *
 * <p>Arguments: the folder of the case. With TROUBLE=0 no client leaves.
 */
public final class QuotaAfterLeaving {

    /** The tenant of the example on PROTOCOL.md. */
    private static final long RATE_PER_S = 277_358;
    private static final long BURST = 277_358;
    private static final long WINDOW_MS = 8_000;
    private static final double OVERSHOOT = 0.1;
    private static final long SLACK = 140_000;
    private static final long TOKENS = 12_000;
    private static final int RUNNERS = 4;
    private static final int SLOTS = 64;
    private static final long WORK_MS = 600;
    private static final int DEADLINE_MS = 15_000;
    /** A quota is 1.8 times the usual of its tenant. */
    private static final double USUAL_PER_S = RATE_PER_S / 1.8 / TOKENS;
    private static final double HOT = 6.0;
    private static final long HOT_MS = 11_000;
    private static final double LEAVING_SHARE = 0.3;
    private static final long LEAVING_MS = 6_000;
    /** Half the latency objective of the route. */
    private static final int LEAVE_AFTER_MS = 400;

    private final Record record;
    private final Deployment deployment;
    private final Random random = new Random(1);
    private final ExecutorService clients = Executors.newCachedThreadPool();
    private final AtomicInteger attempts = new AtomicInteger();
    private final Map<String, Long> sentMs = new ConcurrentHashMap<>();
    private final Map<String, Long> runMs = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();

    private QuotaAfterLeaving(Record record, Deployment deployment) {
        this.record = record;
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exitCode = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment =
                        new Deployment(record, Deployment.standardBounds(), "127.0.0.1:9")) {
            exitCode = new QuotaAfterLeaving(record, deployment).run(hasTrouble);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(exitCode);
    }

    private int run(boolean hasTrouble) throws Exception {
        deployment.start(3, 2);
        if (!sendConfig() || !deployment.awaitReady(20_000)) {
            record.line("the deployment did not start");
            return 2;
        }
        for (int i = 1; i <= RUNNERS; i++) {
            new Runner(
                    "i-" + i,
                    "s",
                    SLOTS,
                    WORK_MS,
                    deployment.controlIps(),
                    deployment.controlPort,
                    (id, request) -> {
                        runMs.put(id, record.elapsedMs());
                        record.line("run " + id);
                    });
        }
        send(15_000, USUAL_PER_S, 0);
        record.line("the tenant sends " + HOT + " times its usual");
        send(LEAVING_MS, HOT * USUAL_PER_S, hasTrouble ? LEAVING_SHARE : 0);
        send(HOT_MS - LEAVING_MS, HOT * USUAL_PER_S, 0);
        Thread.sleep(3_000);
        answers.forEach((answer, count) -> record.line("RESULT attempts ended with " + answer + ": " + count));
        return judge();
    }

    private boolean sendConfig() throws InterruptedException {
        String config =
                "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"a.example\",\"pathPrefix\":\"/a/\","
                        + "\"routeType\":\"non_idempotent\",\"timeoutMs\":15000,\"targetLatencyMs\":800,"
                        + "\"priority\":1,\"service\":\"s\",\"maxAttempts\":1}],"
                        + "\"services\":[{\"name\":\"s\",\"healthPath\":\"/healthz\",\"maxConnections\":360}],"
                        + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],\"unit\":\"tokens\","
                        + "\"uncachedTokens\":200,\"ratePerS\":" + RATE_PER_S + ",\"burst\":" + BURST + "}]}";
        for (int i = 0; i < 60; i++) {
            try {
                int status =
                        Http.call(
                                        deployment.controlIps().get(i % 3),
                                        deployment.controlPort,
                                        "POST",
                                        "/Config.Replace",
                                        List.of("Content-Type: application/json"),
                                        config.getBytes(StandardCharsets.UTF_8),
                                        1_500)
                                .status();
                if (status == 200) {
                    return true;
                }
            } catch (IOException starting) {
                // The next control node is called.
            }
            Thread.sleep(200);
        }
        return false;
    }

    private void send(long durationMs, double perS, double leavingShare) throws InterruptedException {
        long startMs = record.elapsedMs();
        int sent = 0;
        while (record.elapsedMs() - startMs < durationMs) {
            boolean leaves = random.nextDouble() < leavingShare;
            clients.execute(() -> attempt(leaves));
            sent++;
            long nextMs = startMs + (long) (sent * 1_000 / perS);
            Thread.sleep(Math.max(0, nextMs - record.elapsedMs()));
        }
    }

    private void attempt(boolean leaves) {
        int number = attempts.incrementAndGet();
        String id = String.format("%016x", number);
        String answer;
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(
                    new InetSocketAddress(
                            deployment.gatewayIps().get(number % 2), deployment.callersPort),
                    1_000);
            socket.setSoTimeout(leaves ? LEAVE_AFTER_MS : DEADLINE_MS);
            sentMs.put(id, record.elapsedMs());
            socket.getOutputStream()
                    .write(
                            Http.encode(
                                    "POST /a/x HTTP/1.1",
                                    null,
                                    List.of(
                                            "Host: a.example",
                                            "Authorization: Bearer k",
                                            "X-Cardamomthread-Model: m",
                                            "X-Cardamomthread-Token-Usage: 11000,1000",
                                            "X-Cardamomthread-Deadline-Ms: " + DEADLINE_MS,
                                            "X-Cardamomthread-Attempt-Id: " + id),
                                    new byte[64]));
            answer = Integer.toString(Http.readMessage(socket.getInputStream()).status());
        } catch (SocketTimeoutException left) {
            answer = "client left";
        } catch (IOException e) {
            answer = "no answer";
        }
        record.line("attempt " + id + ": " + answer);
        answers.computeIfAbsent(answer, key -> new AtomicInteger()).incrementAndGet();
    }

    /** RULES.md, QUOTA: requests that are both sent and arrive in a window at a runner that runs them. */
    private int judge() {
        double limit = (RATE_PER_S * WINDOW_MS / 1_000.0 + BURST) * (1 + OVERSHOOT) + SLACK;
        List<Long> starts = new ArrayList<>(new TreeMap<>(invert()).keySet());
        long most = 0;
        long mostAtMs = 0;
        for (long start : starts) {
            long tokens =
                    TOKENS
                            * runMs.entrySet().stream()
                                    .filter(run -> sentMs.getOrDefault(run.getKey(), -1L) >= start)
                                    .filter(run -> run.getValue() < start + WINDOW_MS)
                                    .count();
            if (tokens > most) {
                most = tokens;
                mostAtMs = start;
            }
        }
        record.line(
                "RESULT most tokens in a window of 8 s: " + most + ", from " + mostAtMs / 1_000.0
                        + " s; allowed: " + Math.round(limit));
        record.line(most > limit ? "BROKEN QUOTA" : "HELD");
        return most > limit ? 1 : 0;
    }

    private Map<Long, String> invert() {
        Map<Long, String> byTime = new TreeMap<>();
        sentMs.forEach((id, time) -> byTime.put(time, id));
        return byTime;
    }
}
