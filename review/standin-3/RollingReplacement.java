import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * All control machines are replaced as planned: their successors start first and have more than
 * twice catchUpS; then the old ones get SIGTERM one after another. Nothing fails meanwhile.
 *
 * <p>Arguments: the folder of the case. With TROUBLE=0 the successors start and no machine leaves.
 */
public final class RollingReplacement {

    private static final int MACHINES = 3;
    private static final int GATEWAYS = 2;
    /** More than twice catchUpS, which is 4 s. */
    private static final long SUCCESSORS_MS = 10_000;
    /** The pace of the rolling stops in the site file: gap_s = 2.0. */
    private static final long GAP_MS = 2_000;
    /** Two and a half times recoveryS. */
    private static final long READ_MS = 30_000;
    private static final long REQUEST_INTERVAL_MS = 100;

    private final Record record;
    private final Deployment deployment;
    private final AtomicInteger attempts = new AtomicInteger();

    private RollingReplacement(Record record, Deployment deployment) {
        this.record = record;
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exitCode = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment =
                        new Deployment(record, Deployment.standardBounds(), "127.0.0.1:9")) {
            exitCode = new RollingReplacement(record, deployment).run(hasTrouble);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(exitCode);
    }

    private int run(boolean hasTrouble) throws Exception {
        deployment.start(MACHINES, GATEWAYS);
        List<Deployment.Machine> old = deployment.machines("control");
        if (!sendConfig(1, old) || !deployment.awaitReady(20_000)) {
            record.line("the deployment did not start");
            return 2;
        }
        List<Deployment.Machine> successors = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) {
            successors.add(deployment.addControlNode());
            record.line("start of " + successors.get(i).name + ", successor of " + old.get(i).name);
        }
        List<String> ips = deployment.controlIps();
        try (Runner runner =
                new Runner(
                        "i-1", "s", 64, 20, ips, deployment.controlPort, (id, request) -> {})) {
            Thread.sleep(SUCCESSORS_MS);
            if (!sendConfig(2, old)) {
                record.line("config 2 was not acknowledged");
                return 2;
            }
            requests("before the replacement", 2_000);
            for (Deployment.Machine machine : old) {
                if (hasTrouble) {
                    record.line("SIGTERM to " + machine.name);
                    machine.remove();
                    record.line(machine.name + " is gone");
                    Thread.sleep(GAP_MS);
                }
            }
            boolean isRead =
                    readUntil(2, hasTrouble ? successors : old, record.elapsedMs() + READ_MS);
            requests("at the end", 2_000);
            record.line(isRead ? "HELD" : "BROKEN CONFIG: config 2 was acknowledged and never comes");
            return isRead ? 0 : 1;
        }
    }

    private boolean sendConfig(int number, List<Deployment.Machine> machines)
            throws InterruptedException {
        byte[] body =
                ("{\"version\":" + number + ",\"routes\":[{\"name\":\"r\",\"hostname\":\"a.example\","
                                + "\"pathPrefix\":\"/a/\",\"routeType\":\"idempotent\",\"timeoutMs\":2000,"
                                + "\"targetLatencyMs\":200,\"service\":\"s\",\"maxAttempts\":2}],"
                                + "\"services\":[{\"name\":\"s\",\"healthPath\":\"/healthz\"}],"
                                + "\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"]}]}")
                        .getBytes(StandardCharsets.UTF_8);
        long endMs = record.elapsedMs() + 20_000;
        for (int i = 0; record.elapsedMs() < endMs; i++) {
            Deployment.Machine machine = machines.get(i % machines.size());
            int status = call(machine.ip, "POST", "/Config.Replace", body).status();
            record.line("config " + number + " to " + machine.name + ": " + status);
            if (status == 200) {
                return true;
            }
            Thread.sleep(200);
        }
        return false;
    }

    /** Reads the config at all control machines that are left until one answers. */
    private boolean readUntil(int number, List<Deployment.Machine> machines, long endMs)
            throws InterruptedException {
        while (record.elapsedMs() < endMs) {
            for (Deployment.Machine machine : machines) {
                Http.Message answer = call(machine.ip, "GET", "/Config.Read", new byte[0]);
                record.line("read at " + machine.name + ": " + answer.status());
                if (answer.status() == 200 && answer.text().contains("\"version\":" + number + ",")) {
                    return true;
                }
            }
            Thread.sleep(500);
        }
        return false;
    }

    private Http.Message call(String ip, String method, String path, byte[] body) {
        try {
            return Http.call(ip, deployment.controlPort, method, path, List.of(), body, 1_500);
        } catch (IOException e) {
            return new Http.Message("", 0, Map.of(), new byte[0]);
        }
    }

    /** Sends requests of clients to the gateways in turn and records how they were answered. */
    private void requests(String when, long durationMs) throws InterruptedException {
        Map<String, Integer> answers = new java.util.TreeMap<>();
        long endMs = record.elapsedMs() + durationMs;
        while (record.elapsedMs() < endMs) {
            int number = attempts.incrementAndGet();
            String ip = deployment.gatewayIps().get(number % GATEWAYS);
            String answer;
            try {
                answer =
                        Integer.toString(
                                Http.call(
                                                ip,
                                                deployment.callersPort,
                                                "GET",
                                                "/a/x",
                                                List.of(
                                                        "Host: a.example",
                                                        "Authorization: Bearer k",
                                                        "X-Cardamomthread-Deadline-Ms: 2000",
                                                        "X-Cardamomthread-Attempt-Id: "
                                                                + String.format("%016x", number)),
                                                new byte[0],
                                                2_500)
                                        .status());
            } catch (IOException e) {
                answer = "no answer";
            }
            answers.merge(answer, 1, Integer::sum);
            Thread.sleep(REQUEST_INTERVAL_MS);
        }
        record.line("requests " + when + ", by answer: " + answers);
    }
}
