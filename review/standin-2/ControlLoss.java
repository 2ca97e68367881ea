import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A core machine goes down for 3.5 s and comes back with its disk; while it is down, another one
 * loses its disk and is back within a second. Checks that the config can still be read back.
 */
final class ControlLoss {

    private static final int NODES = 4;
    private static final long RECOVERY_MS = 12_000;
    private static final long CONTACT_MS = 3_000;

    public static void main(String[] args) throws Exception {
        Path folder = Path.of(args[0]);
        boolean isDisrupted = !"0".equals(System.getenv("TROUBLE"));
        long delayMs = args.length > 1 ? Long.parseLong(args[1]) : 20;
        int moreRoutes = args.length > 2 ? Integer.parseInt(args[2]) : 20;
        int status;
        try (Record record = new Record(folder.resolve("record.txt"));
                Deployment deployment = new Deployment(record, 3, null)) {
            status = run(record, deployment, isDisrupted, delayMs, moreRoutes);
            record.add("exit " + status);
        }
        System.exit(status);
    }

    private static int run(
            Record record, Deployment deployment, boolean isDisrupted, long delayMs, int moreRoutes)
            throws Exception {
        List<Integer> nodes = List.of(0, 1, 2, 3);
        for (int node : nodes) {
            deployment.startControl(node, true);
        }
        Operator operator = new Operator(deployment, record);
        for (long version = 1; version <= 5; version++) {
            if (operator.replace(nodes, Documents.create(version, moreRoutes), version, 20_000) < 0) {
                return 2;
            }
        }
        Thread.sleep(2_000);
        int leader = findLeader(deployment, nodes);
        if (leader < 0 || leader > 2) {
            record.add("no leader among the seeds");
            return 2;
        }
        List<Integer> followers = new ArrayList<>(List.of(0, 1, 2));
        followers.remove(Integer.valueOf(leader));
        int down = followers.get(0);
        int wiped = followers.get(1);
        record.add("leader core-" + leader + ", goes down core-" + down + ", loses its disk core-" + wiped);
        if (isDisrupted) {
            deployment.kill("core-" + down);
            long downMs = record.nowMs();
            boolean isJoining = awaitLine(deployment, "core-" + leader, "member-added", 3_400, record, downMs);
            record.add(isJoining ? "the spare machine joins" : "no machine joined");
            Thread.sleep(delayMs);
            deployment.kill("core-" + wiped);
            deployment.loseDisk(wiped);
            record.add("removed the disk of core-" + wiped);
            Thread.sleep(500);
            deployment.startControl(wiped, false);
            Thread.sleep(Math.max(0, downMs + 3_500 - record.nowMs()));
            deployment.startControl(down, false);
        }
        record.add("all machines are back; waiting for the recovery");
        Thread.sleep(2_000 + RECOVERY_MS + CONTACT_MS);
        long endMs = record.nowMs() + 2 * CONTACT_MS;
        boolean isRead = false;
        while (record.nowMs() < endMs) {
            for (int node : nodes) {
                String version = operator.read(node);
                record.add("core-" + node + " returns config: " + version);
                isRead |= version.equals("5");
            }
            Thread.sleep(500);
        }
        record.add(isRead ? "config 5 was read back" : "config 5 did not come back from any machine");
        return isRead ? 0 : 1;
    }

    private static int findLeader(Deployment deployment, List<Integer> nodes) {
        for (int node : nodes) {
            Call.Answer metrics =
                    Call.send(
                            deployment.controlIp(node), 9464, "GET", "/metrics",
                            Map.of("Host", "metrics"), new byte[0], 1_000);
            if (metrics.text().contains("cardamomthread_leads 1.0")) {
                return node;
            }
        }
        return -1;
    }

    private static boolean awaitLine(
            Deployment deployment, String name, String text, long timeoutMs, Record record, long sinceMs)
            throws Exception {
        while (record.nowMs() < sinceMs + timeoutMs) {
            if (Files.readString(deployment.log(name)).contains(text)) {
                return true;
            }
            Thread.sleep(1);
        }
        return false;
    }
}
