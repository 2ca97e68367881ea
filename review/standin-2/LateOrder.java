import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The link from the operator to one core machine turns slow. An order to take a zone back is sent
 * over it on an open channel, isn't answered within a second, and is sent again to another machine,
 * which acknowledges it. The zone is then evacuated anew, which is acknowledged as well, before the
 * first copy arrives. Checks that no request reaches a server of the zone later than evacuationMs
 * after that.
 */
final class LateOrder {

    private static final long LINK_DELAY_MS = 2_000;
    private static final int OPERATOR_TIMEOUT_MS = 1_000;
    private static final long EVACUATION_MS = 5_000;
    private static final long CONTACT_MS = 3_000;
    private static final String ZONE = "zone-a";

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
        deployment.startGateway(0);
        Operator operator = new Operator(deployment, record);
        if (operator.replace(List.of(0, 1, 2), Documents.create(1, 0), 1, 20_000) < 0) {
            return 2;
        }
        List<String> controlIps = List.of(0, 1, 2).stream().map(deployment::controlIp).toList();
        ConcurrentLinkedQueue<String> runsInZone = new ConcurrentLinkedQueue<>();
        try (ServerStandIn evacuated =
                        server(deployment, record, "i-a", 0, ZONE, controlIps, runsInZone);
                ServerStandIn other =
                        server(deployment, record, "i-b", 1, "zone-b", controlIps, null);
                DelayProxy link =
                        new DelayProxy(
                                deployment.serverIp(9),
                                new InetSocketAddress(deployment.controlIp(0), deployment.controlPort))) {
            Thread.sleep(5_000);
            serve(record, deployment, "before", 20);
            if (runsInZone.isEmpty()) {
                record.add("no request ran in " + ZONE + " before the evacuation");
                return 2;
            }
            if (!order(record, deployment.controlIp(1), deployment.controlPort, "core-1", "Begin")) {
                return 2;
            }
            Thread.sleep(2_000);
            boolean isTakenBack = finishOnOpenChannel(record, deployment, link, isDisrupted);
            if (!isTakenBack) {
                isTakenBack = order(record, deployment.controlIp(1), deployment.controlPort, "core-1", "Finish");
            }
            boolean isEvacuated = order(record, deployment.controlIp(1), deployment.controlPort, "core-1", "Begin");
            long evacuatedMs = record.nowMs();
            if (!isTakenBack || !isEvacuated) {
                return 2;
            }
            link.setDelay(0);
            Thread.sleep(EVACUATION_MS + CONTACT_MS + LINK_DELAY_MS);
            runsInZone.clear();
            serve(record, deployment, "after", 40);
            record.add(
                    runsInZone.size() + " requests ran in " + ZONE + ", the first "
                            + (record.nowMs() - evacuatedMs) + " ms or less after its evacuation was acknowledged");
            return runsInZone.isEmpty() ? 0 : 1;
        }
    }

    /** Reads the config on a new channel, and sends the order on the same one. */
    private static boolean finishOnOpenChannel(
            Record record, Deployment deployment, DelayProxy link, boolean isDisrupted) throws Exception {
        try (Socket channel = new Socket(deployment.serverIp(9), link.port())) {
            channel.setTcpNoDelay(true);
            channel.setSoTimeout(OPERATOR_TIMEOUT_MS);
            OutputStream out = channel.getOutputStream();
            out.write("GET /Config.Read HTTP/1.1\r\nHost: control\r\n\r\n".getBytes());
            record.add("Config.Read to core-0: status " + Call.read(channel.getInputStream(), false).status());
            link.setDelay(isDisrupted ? LINK_DELAY_MS : 0);
            String order = "POST /Evacuate.Finish/" + ZONE + " HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n";
            out.write(order.getBytes());
            int status = Call.read(channel.getInputStream(), false).status();
            record.add("Evacuate.Finish to core-0: status " + status);
            return status == 200;
        } catch (SocketTimeoutException e) {
            record.add("Evacuate.Finish to core-0: no answer in " + OPERATOR_TIMEOUT_MS + " ms, channel closed");
            return false;
        }
    }

    private static ServerStandIn server(
            Deployment deployment, Record record, String id, int index, String zone,
            List<String> controlIps, ConcurrentLinkedQueue<String> runs) throws Exception {
        return new ServerStandIn(
                id, deployment.serverIp(index), 16, zone, controlIps, deployment.controlPort,
                (request, out, channel) -> {
                    record.add("server " + id + " in " + zone + " runs " + request.id());
                    if (runs != null) {
                        runs.add(request.id());
                    }
                    out.write(ServerStandIn.signedHead(200, request.id(), "Content-Length: 2\r\n"));
                    out.write("ok".getBytes());
                },
                record);
    }

    private static boolean order(Record record, String ip, int port, String node, String verb) {
        Call.Answer answer =
                Call.send(
                        ip, port, "POST", "/Evacuate." + verb + "/" + ZONE,
                        Map.of("Host", "control"), new byte[0], OPERATOR_TIMEOUT_MS);
        record.add("Evacuate." + verb + " to " + node + ": status " + answer.status() + " " + answer.problem());
        return answer.status() == 200;
    }

    private static void serve(Record record, Deployment deployment, String name, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            String id = name + "-" + i;
            Call.Answer answer =
                    Call.send(
                            deployment.gatewayIp(0), deployment.callersPort, "GET", "/again/" + i,
                            Map.of("Host", Documents.HOST, "X-Cardamomthread-Attempt-Id", id,
                                    "X-Cardamomthread-Deadline-Ms", "1500", "Authorization", "Bearer " + Documents.KEY),
                            new byte[0], 1_500);
            record.add(id + ": status " + answer.status() + " " + answer.problem());
            Thread.sleep(100);
        }
    }
}
