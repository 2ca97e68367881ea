import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of seven servers fails part of the requests that it has run with a 503 of its own, which
 * doesn't state that the request hasn't run. Checks that no request that may run once is answered with a status
 * that promises "not run" although it has run.
 */
final class PromiseAfterRun {

    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final int BOOKINGS = 120;
    private static final int SERVERS = 7;
    private static final double FAILED_SHARE = 0.45;

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
        Set<String> run = ConcurrentHashMap.newKeySet();
        Map<String, AtomicInteger> runsOfBooking = new ConcurrentHashMap<>();
        List<ServerStandIn> servers = new ArrayList<>();
        try {
            for (int i = 0; i < SERVERS; i++) {
                String name = "i-" + i;
                boolean isFaulty = isDisrupted && i == 0;
                AtomicInteger count = new AtomicInteger();
                ServerStandIn.Behaviour behaviour =
                        (request, out, channel) -> {
                            run.add(request.id());
                            String booking = new String(request.body());
                            runsOfBooking.computeIfAbsent(booking, key -> new AtomicInteger()).incrementAndGet();
                            int number = count.incrementAndGet();
                            boolean fails = isFaulty && (int) (number * FAILED_SHARE) > (int) ((number - 1) * FAILED_SHARE);
                            record.add("server " + name + " runs " + request.id() + (fails ? " and fails it" : ""));
                            Thread.sleep(20);
                            out.write(ServerStandIn.signedHead(fails ? 503 : 200, request.id(), "Content-Length: 2\r\n"));
                            out.write((fails ? "no" : "ok").getBytes());
                        };
                servers.add(
                        new ServerStandIn(
                                name, deployment.serverIp(i), 16, controlIps, deployment.controlPort,
                                behaviour, record));
            }
            Thread.sleep(4_000);
            int brokenPromises = 0;
            for (int i = 0; i < BOOKINGS; i++) {
                Call.Answer answer = book(record, deployment, i, "first", run);
                if (PROMISES.contains(answer.status())) {
                    brokenPromises += run.contains("booking-" + i + "-first") ? 1 : 0;
                    Thread.sleep(300);
                    book(record, deployment, i, "again", run);
                }
                Thread.sleep(50);
            }
            long twice = runsOfBooking.values().stream().filter(runs -> runs.get() > 1).count();
            record.add(brokenPromises + " requests have run and were answered as not run; " + twice + " of " + BOOKINGS + " bookings ran twice");
            if (run.size() < BOOKINGS / 2) {
                return 2;
            }
            return brokenPromises > 0 ? 1 : 0;
        } finally {
            for (ServerStandIn server : servers) {
                server.close();
            }
        }
    }

    private static Call.Answer book(Record record, Deployment deployment, int number, String attempt, Set<String> run) {
        String id = "booking-" + number + "-" + attempt;
        Call.Answer answer =
                Call.send(
                        deployment.gatewayIp(0), deployment.callersPort, "POST", "/once/book",
                        Map.of("Host", Documents.HOST, "X-Cardamomthread-Attempt-Id", id,
                                "X-Cardamomthread-Deadline-Ms", "2000", "Authorization", "Bearer " + Documents.KEY),
                        ("booking " + number).getBytes(), 3_000);
        record.add(id + ": status " + answer.status() + ", has run " + run.contains(id) + " " + answer.problem());
        return answer;
    }
}
