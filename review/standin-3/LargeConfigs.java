import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two operators send configs that have grown by many routes, up to eight at once. Counts how often
 * the processes that serve control end by themselves.
 *
 * <p>Arguments: the folder of the case. With TROUBLE=0 the config does not grow.
 */
public final class LargeConfigs {

    private static final int CONTROL_NODES = 4;
    private static final int GATEWAYS = 2;
    /** The largest growth in the site files, and how often it comes. */
    private static final int ROUTES_PER_GROWTH = 1_412;
    private static final int GROWTHS = 4;
    private static final int BASE_ROUTES = 10;
    /** PROTOCOL.md: up to eight orders may be in progress at once. */
    private static final int ORDERS_IN_PROGRESS = 8;
    /** Changes of one storm, as many as a storm of 4.56 s with one each 0.157 s has. */
    private static final int CHANGES_PER_STORM = 29;
    private static final long STORM_PAUSE_MS = 1_000;
    private static final long END_MS = 103_000;
    /** "A second without a response (more for large bodies)". */
    private static final int ANSWER_TIMEOUT_MS = 4_000;
    private static final int ENDS_OF_A_BROKEN_MACHINE = 3;

    private final Record record;
    private final Deployment deployment;
    private final AtomicInteger version = new AtomicInteger();
    private final AtomicInteger acknowledged = new AtomicInteger();
    private volatile int routes = BASE_ROUTES;

    private LargeConfigs(Record record, Deployment deployment) {
        this.record = record;
        this.deployment = deployment;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        int exitCode = 2;
        try (Record record = new Record(Path.of(arguments[0]));
                Deployment deployment =
                        new Deployment(record, Deployment.standardBounds(), "127.0.0.1:9")) {
            exitCode = new LargeConfigs(record, deployment).run(hasTrouble);
        } catch (Exception e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(exitCode);
    }

    private int run(boolean hasTrouble) throws Exception {
        deployment.start(CONTROL_NODES, GATEWAYS);
        if (!sendUntilAcknowledged(version.incrementAndGet(), 20_000)
                || !deployment.awaitReady(20_000)) {
            record.line("the deployment did not start");
            return 2;
        }
        for (int i = 0; hasTrouble && i < GROWTHS; i++) {
            routes += ROUTES_PER_GROWTH;
            sendUntilAcknowledged(version.incrementAndGet(), 10_000);
        }
        while (record.elapsedMs() < END_MS && !isBroken()) {
            storm();
            Thread.sleep(STORM_PAUSE_MS);
        }
        for (Deployment.Machine machine : deployment.machines("control")) {
            record.line("RESULT " + machine.name + " ended by itself " + machine.ends() + " times");
        }
        record.line("RESULT " + version + " configs sent, " + acknowledged + " acknowledged");
        record.line(isBroken() ? "BROKEN Fault" : "HELD");
        return isBroken() ? 1 : 0;
    }

    /** RULES.md, Fault: on half of the core, processes end by themselves three times. */
    private boolean isBroken() {
        long machines =
                deployment.machines("control").stream()
                        .filter(machine -> machine.ends() >= ENDS_OF_A_BROKEN_MACHINE)
                        .count();
        return 2 * machines >= CONTROL_NODES;
    }

    private void storm() throws InterruptedException {
        AtomicInteger left = new AtomicInteger(CHANGES_PER_STORM);
        List<Thread> operators = new ArrayList<>();
        for (int i = 0; i < ORDERS_IN_PROGRESS; i++) {
            Thread operator =
                    new Thread(
                            () -> {
                                while (left.getAndDecrement() > 0
                                        && record.elapsedMs() < END_MS
                                        && !isBroken()) {
                                    sendUntilAcknowledged(version.incrementAndGet(), 8_000);
                                }
                            });
            operator.start();
            operators.add(operator);
        }
        for (Thread operator : operators) {
            operator.join();
        }
    }

    /** Sends a config to one control node after another, with growing pauses. */
    private boolean sendUntilAcknowledged(int number, long timeoutMs) {
        byte[] body = config(number).getBytes(StandardCharsets.UTF_8);
        long startMs = record.elapsedMs();
        long pauseMs = 100;
        List<String> ips = deployment.controlIps();
        for (int i = number; record.elapsedMs() - startMs < timeoutMs; i++) {
            String ip = ips.get(i % ips.size());
            String answer;
            try {
                Http.Message response =
                        Http.call(
                                ip,
                                deployment.controlPort,
                                "POST",
                                "/Config.Replace",
                                List.of("Content-Type: application/json"),
                                body,
                                ANSWER_TIMEOUT_MS);
                answer = Integer.toString(response.status());
            } catch (IOException e) {
                answer = "no answer (" + e.getMessage() + ")";
            }
            record.line(
                    "config " + number + " of " + body.length + " bytes to " + ip + ": " + answer);
            if (answer.equals("200")) {
                acknowledged.incrementAndGet();
                return true;
            }
            try {
                Thread.sleep(pauseMs);
            } catch (InterruptedException e) {
                return false;
            }
            pauseMs = Math.min(1_000, 2 * pauseMs);
        }
        return false;
    }

    /** A config as on PROTOCOL.md; each version has another timeout of its routes. */
    private String config(int number) {
        StringBuilder text = new StringBuilder("{\"version\":").append(number).append(",\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(String.format("%07d", i))
                    .append("\",\"hostname\":\"ficu")
                    .append(i % 97)
                    .append(".example\",\"pathPrefix\":\"/lohu")
                    .append(String.format("%05d", i))
                    .append("/\",\"routeType\":\"streaming\",\"timeoutMs\":")
                    .append(12_000 + number)
                    .append(",\"targetLatencyMs\":800,\"priority\":1,\"backends\":[{\"service\":")
                    .append("\"huvo11a\",\"weight\":90},{\"service\":\"wuno96b\",\"weight\":10}],")
                    .append("\"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,")
                    .append("\"itlTargetMs\":300}");
        }
        return text.append("],\"services\":[{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",")
                .append("\"maxConnections\":360},{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",")
                .append("\"maxConnections\":96}],\"limits\":{\"maxHeaderBytes\":16384,")
                .append("\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},")
                .append("\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"i9n73hh2b9wu3fexd9dn\"],")
                .append("\"ratePerS\":277358,\"burst\":277358}]}")
                .toString();
    }
}
