import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Sends the operator's orders to the control nodes and reads the config back. */
final class Operator {

    private static final Pattern VERSION = Pattern.compile("\"version\":(\\d+)");
    private final Deployment deployment;
    private final Record record;
    private int nextNode;

    Operator(Deployment deployment, Record record) {
        this.deployment = deployment;
        this.record = record;
    }

    Call.Answer send(int node, String method, String path, byte[] body) {
        return Call.send(
                deployment.controlIp(node),
                deployment.controlPort,
                method,
                path,
                Map.of("Host", "control", "Content-Type", "application/json"),
                body,
                1_500);
    }

    /** Sends a config to the nodes in turn until one acknowledges it; returns that node or -1. */
    int replace(List<Integer> nodes, byte[] config, long version, long timeoutMs)
            throws InterruptedException {
        long endMs = record.nowMs() + timeoutMs;
        while (record.nowMs() < endMs) {
            int node = nodes.get(nextNode++ % nodes.size());
            Call.Answer answer = send(node, "POST", "/Config.Replace", config);
            if (answer.status() == 200) {
                record.add("config " + version + " acknowledged by core-" + node);
                return node;
            }
            Thread.sleep(150);
        }
        record.add("config " + version + " not acknowledged in " + timeoutMs + " ms");
        return -1;
    }

    /** Returns the version that a node returns, or its status if that is not 200. */
    String read(int node) {
        Call.Answer answer = send(node, "GET", "/Config.Read", new byte[0]);
        if (answer.status() != 200) {
            return "status " + answer.status() + " " + answer.problem();
        }
        Matcher matcher = VERSION.matcher(answer.text());
        return matcher.find() ? matcher.group(1) : "no version";
    }
}
