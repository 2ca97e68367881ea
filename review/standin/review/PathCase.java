package review;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A client without a key asks for paths with dot segments on a public route, whose service also has
 * a route that needs a key.
 */
final class PathCase {

    private PathCase() {}

    public static void main(String[] arguments) throws Exception {
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        int exitCode = 2;
        try (Record record = new Record(Path.of(arguments[0]))) {
            try {
                exitCode = run(record, isTroubled);
            } catch (Exception e) {
                record.say("the case could not run: %s", e);
            }
            record.say("exit code %d", exitCode);
        }
        Runtime.getRuntime().exit(exitCode);
    }

    private static int run(Record record, boolean isTroubled) throws Exception {
        try (Fleet fleet = new Fleet(3, 1, new String[] {"lisboa-a"}, record)) {
            fleet.start(
                    Documents.document(
                            3,
                            Documents.route("r-open", "/puxa403/", "idempotent", 2_000, true),
                            Documents.route("r-book", "/lohu930/", "non_idempotent", 2_000, false)));
            Runner runner = new Runner(fleet, "i-1", "app", "lisboa-a", 5);
            Runner.sleep(3_000);
            String[] requests =
                    isTroubled
                            ? new String[] {
                                "GET /puxa403/2f", "GET /puxa403/../lohu930/2f",
                                "POST /puxa403/../hold-take", "DELETE /puxa403/../kv-pin/5c1e07a2",
                                "GET /puxa403/./2f", "GET /puxa403/a/..", "GET /puxa403/2f?"
                            }
                            : new String[] {
                                "GET /puxa403/2f", "GET /puxa403/..lohu930/2f",
                                "POST /puxa403/hold-take", "DELETE /puxa403/kv-pin/5c1e07a2",
                                "GET /puxa403/.2f", "GET /puxa403/a..",
                                "GET /puxa403//2f?a=%41"
                            };
            int changed = 0;
            int index = 0;
            for (String request : requests) {
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("Host", Documents.HOST);
                String id = String.format("%016x", 0x55000000L + index++);
                headers.put("X-Cardamomthread-Attempt-Id", id);
                headers.put("X-Cardamomthread-Deadline-Ms", "2000");
                Http.Message answer =
                        Http.call(Fleet.gatewayIp(0), fleet.callersPort,
                                request + " HTTP/1.1", headers, new byte[0], 3_000);
                String ran =
                        runner.runs.stream()
                                .filter(run -> run.id().equals(id))
                                .map(Runner.Run::requestLine)
                                .findFirst()
                                .orElse("nothing");
                record.say("client without a key: %s -> %s; the runner ran: %s", request,
                        answer == null ? "closed" : answer.status(), ran);
                if (!ran.equals("nothing") && !ran.equals(request + " HTTP/1.1")) {
                    changed++;
                }
            }
            runner.close();
            return changed > 0 ? 1 : 0;
        }
    }
}
