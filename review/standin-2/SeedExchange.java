import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Machines that serve control are added and the settings name them as seeds; then all processes are
 * killed and started again. Checks that requests are served after the recovery. Without trouble the
 * seeds stay as they were.
 */
final class SeedExchange {

    private static final int GATEWAYS = 2;
    private static final long RECOVERY_MS = 12_000;

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean isDisrupted = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Record record = new Record(folder.resolve("record.txt"));
                Deployment deployment = new Deployment(record, 3, null)) {
            status = run(record, deployment, isDisrupted);
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private static int run(Record record, Deployment deployment, boolean isDisrupted) throws Exception {
        for (int i = 0; i < 3; i++) {
            deployment.startControl(i, true);
        }
        for (int i = 0; i < GATEWAYS; i++) {
            deployment.startGateway(i);
        }
        Operator operator = new Operator(deployment, record);
        if (operator.replace(List.of(0, 1, 2), Documents.create(1, 0), 1, 20_000) < 0) {
            return 2;
        }
        List<String> controlIps = List.of(0, 1, 2).stream().map(deployment::controlIp).toList();
        try (ServerStandIn server =
                new ServerStandIn(
                        "i-1", deployment.serverIp(0), 16, controlIps, deployment.controlPort,
                        (request, out, channel) -> {
                            out.write(ServerStandIn.signedHead(200, request.id(), "Content-Length: 2\r\n"));
                            out.write("ok".getBytes());
                        },
                        record)) {
            Thread.sleep(4_000);
            int servedBefore = serve(record, deployment, "before", 20);
            if (servedBefore < 15) {
                return 2;
            }
            for (int i = 3; i < 6; i++) {
                deployment.startControl(i, false);
            }
            Thread.sleep(6_000);
            if (isDisrupted) {
                deployment.exchangeSeeds(List.of(3, 4, 5));
                Thread.sleep(1_000);
            }
            for (int i = 0; i < 6; i++) {
                deployment.kill("core-" + i);
            }
            for (int i = 0; i < GATEWAYS; i++) {
                deployment.kill("edge-" + i);
            }
            Thread.sleep(1_000);
            for (int i = 0; i < 6; i++) {
                deployment.startControl(i, false);
            }
            for (int i = 0; i < GATEWAYS; i++) {
                deployment.startGateway(i);
            }
            Thread.sleep(RECOVERY_MS + 2_000);
            int served = serve(record, deployment, "after", 40);
            for (int i = 0; i < 6; i++) {
                record.add("core-" + i + " returns config: " + operator.read(i));
            }
            record.add("served before " + servedBefore + " of 20, after " + served + " of 40");
            return served < 10 ? 1 : 0;
        }
    }

    private static int serve(Record record, Deployment deployment, String name, int count) throws Exception {
        int served = 0;
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            Call.Answer answer =
                    Call.send(
                            deployment.gatewayIp(i % GATEWAYS), deployment.callersPort, "GET", "/again/" + i,
                            Map.of("Host", Documents.HOST, "X-Cardamomthread-Attempt-Id", id,
                                    "X-Cardamomthread-Deadline-Ms", "1500", "Authorization", "Bearer " + Documents.KEY),
                            new byte[0], 1_500);
            boolean isServed = answer.status() == 200 && answer.headers().containsKey("x-cardamomthread-runner-signature");
            served += isServed ? 1 : 0;
            record.add(id + " to edge-" + i % GATEWAYS + ": " + answer.status() + " " + answer.problem());
            Thread.sleep(150);
        }
        return served;
    }
}
