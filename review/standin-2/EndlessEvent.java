import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A server answers a resumable stream with bytes that complete no event, in small chunks, until its
 * channel is closed. Checks that the other requests at the gateway are answered by the time limit
 * of their route.
 */
final class EndlessEvent {

    private static final int ROUTE_TIMEOUT_MS = 1_500;
    private static final int SLACK_MS = 500;
    private static final int REQUESTS = 60;

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean isDisrupted = !"0".equals(System.getenv("TROUBLE"));
        int chunkBytes = args.length > 1 ? Integer.parseInt(args[1]) : 1;
        int streams = args.length > 2 ? Integer.parseInt(args[2]) : 1;
        String path = args.length > 3 ? args[3] : "/resumed/1";
        int status;
        try (Record record = new Record(folder.resolve("record.txt"));
                Deployment deployment = new Deployment(record, 3, null)) {
            status = run(record, deployment, isDisrupted, chunkBytes, streams, path);
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private static int run(
            Record record, Deployment deployment, boolean isDisrupted, int chunkBytes, int streams, String path)
            throws Exception {
        for (int i = 0; i < 3; i++) {
            deployment.startControl(i, true);
        }
        deployment.startGateway(0);
        Operator operator = new Operator(deployment, record);
        if (operator.replace(List.of(0, 1, 2), Documents.create(1, 0), 1, 20_000) < 0) {
            return 2;
        }
        List<String> controlIps = List.of(0, 1, 2).stream().map(deployment::controlIp).toList();
        ExecutorService threads = Executors.newCachedThreadPool();
        try (ServerStandIn server =
                new ServerStandIn(
                        "i-1", deployment.serverIp(0), 64, controlIps, deployment.controlPort,
                        (request, out, channel) -> answer(record, request, out, isDisrupted, chunkBytes),
                        record)) {
            Thread.sleep(4_000);
            if (serve(record, deployment, threads, "before", 10) < 10) {
                return 2;
            }
            List<Future<Call.Answer>> open = new ArrayList<>();
            for (int i = 0; i < streams; i++) {
                String id = "stream-" + i;
                open.add(threads.submit(() -> call(deployment, path, id, 12_000)));
            }
            Thread.sleep(300);
            threads.submit(() -> probeReadiness(record, deployment));
            int inTime = serve(record, deployment, threads, "during", REQUESTS);
            for (Future<Call.Answer> stream : open) {
                Call.Answer answer = stream.get(40, TimeUnit.SECONDS);
                record.add("stream: status " + answer.status() + ", whole " + answer.isWhole() + ", " + answer.body().length + " bytes " + answer.problem());
            }
            record.add(inTime + " of " + REQUESTS + " answered by their time limit and " + SLACK_MS + " ms");
            int late = REQUESTS - inTime;
            return late >= 8 && late * 4 > REQUESTS ? 1 : 0;
        } finally {
            threads.shutdownNow();
        }
    }

    private static void answer(
            Record record, ServerStandIn.Request request, OutputStream out, boolean isDisrupted, int chunkBytes)
            throws Exception {
        if (request.target().startsWith("/short/")) {
            out.write(ServerStandIn.signedHead(200, request.id(), "Content-Length: 2\r\n"));
            out.write("ok".getBytes());
            return;
        }
        record.add("server runs " + request.id());
        out.write(
                ServerStandIn.signedHead(
                        200, request.id(),
                        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
        if (!isDisrupted) {
            for (int i = 1; i <= 20; i++) {
                byte[] event = ("id: " + i + "\ndata: x\n\n").getBytes();
                out.write((Integer.toHexString(event.length) + "\r\n").getBytes());
                out.write(event);
                out.write("\r\n".getBytes());
                out.flush();
                Thread.sleep(100);
            }
            out.write("0\r\n\r\n".getBytes());
            return;
        }
        byte[] chunk = (Integer.toHexString(chunkBytes) + "\r\n" + "x".repeat(chunkBytes) + "\r\n").getBytes();
        byte[] block = new byte[chunk.length * 1_000];
        for (int i = 0; i < 1_000; i++) {
            System.arraycopy(chunk, 0, block, i * chunk.length, chunk.length);
        }
        long sent = 0;
        try {
            while (true) {
                out.write(block);
                sent += block.length;
            }
        } finally {
            record.add("server: the channel of " + request.id() + " was closed after " + sent + " bytes");
        }
    }

    /** Asks once a second whether the gateway is ready, as the provider does. */
    private static void probeReadiness(Record record, Deployment deployment) {
        while (!Thread.currentThread().isInterrupted()) {
            Call.Answer answer =
                    Call.send(
                            deployment.gatewayIp(0), deployment.readinessPort, "GET", "/readyz",
                            Map.of("Host", "readiness"), new byte[0], 1_000);
            record.add("/readyz: status " + answer.status() + " " + answer.problem());
            try {
                Thread.sleep(1_000);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static int serve(
            Record record, Deployment deployment, ExecutorService threads, String name, int count)
            throws Exception {
        List<Future<Integer>> results = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            results.add(
                    threads.submit(
                            () -> {
                                long startMs = record.nowMs();
                                Call.Answer answer = call(deployment, "/short/1", id, ROUTE_TIMEOUT_MS);
                                long tookMs = record.nowMs() - startMs;
                                record.add(id + ": status " + answer.status() + " after " + tookMs + " ms " + answer.problem());
                                return answer.status() > 0 && tookMs <= ROUTE_TIMEOUT_MS + SLACK_MS ? 1 : 0;
                            }));
            Thread.sleep(100);
        }
        int inTime = 0;
        for (Future<Integer> result : results) {
            inTime += result.get(60, TimeUnit.SECONDS);
        }
        return inTime;
    }

    private static Call.Answer call(Deployment deployment, String path, String id, int timeLimitMs) {
        return Call.send(
                deployment.gatewayIp(0), deployment.callersPort, "POST", path,
                Map.of("Host", Documents.HOST, "X-Cardamomthread-Attempt-Id", id,
                        "X-Cardamomthread-Deadline-Ms", Integer.toString(timeLimitMs),
                        "Authorization", "Bearer " + Documents.KEY),
                "hi".getBytes(), 30_000);
    }
}
