package org.cardamomthread.experiments.path;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Measures the overhead of one node compared with direct calls to the stand-ins behind it.
 *
 * <p>The processes are started by {@code cardamomthread-experiments/path/run}. Stateless and
 * thread-safe.
 */
public final class PathCommand {

    private static final int USAGE_EXIT_CODE = 2;
    private static final int WARM_UP_CALLS = 3_000;

    /** Slowdown of the engine that keeps the streams open while the memory is read. */
    private static final int SLOWDOWN_FACTOR = 100;

    private PathCommand() {}

    /**
     * Runs the measurement.
     *
     * @param arguments the command line
     * @throws IOException if the memory usage of the node cannot be read
     * @throws InterruptedException if the thread is interrupted
     * @throws ExecutionException if a call fails
     */
    public static void main(String[] arguments)
            throws IOException, InterruptedException, ExecutionException {
        Options options = new Options();
        for (String name :
                new String[] {"node", "service", "engine", "token", "pid", "calls", "round-ms"}) {
            options.addOption(Option.builder().longOpt(name).hasArg().get());
        }
        try {
            run(new DefaultParser().parse(options, arguments));
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private static void run(CommandLine line)
            throws IOException, InterruptedException, ExecutionException {
        String nodeBase = "http://" + line.getOptionValue("node");
        MeasuredTarget direct =
                new MeasuredTarget(
                        "direct",
                        "http://" + line.getOptionValue("service"),
                        "http://" + line.getOptionValue("engine") + "/v1/chat/completions",
                        "");
        MeasuredTarget node =
                new MeasuredTarget(
                        "node",
                        nodeBase + "/services/bookings",
                        nodeBase + "/v1/chat/completions",
                        line.getOptionValue("token"));
        long pid = Long.parseLong(line.getOptionValue("pid"));
        int calls = Integer.parseInt(line.getOptionValue("calls", "5000"));
        long roundMs = Long.parseLong(line.getOptionValue("round-ms", "2000"));
        System.out.printf(
                "resident memory of the idle node: %d kB%n", PathMeasurement.residentKb(pid));
        try (LoadClient client = new LoadClient()) {
            PathMeasurement measurement = new PathMeasurement(client, direct, node);
            System.out.println("warm-up, not counted:");
            measurement.measureLatency(WARM_UP_CALLS);
            System.out.println("measured:");
            measurement.measureLatency(calls);
            for (int concurrency : new int[] {1, 8, 32}) {
                measurement.measureThroughput(concurrency, roundMs);
            }
            measurement.measureStreaming(32, 500);
            measurement.measureStreaming(32, 2_000);
            client.slowDown(
                    "http://" + line.getOptionValue("engine") + "/v1/faults", SLOWDOWN_FACTOR);
            measurement.measureMemory(pid, 1_000, 100);
        }
    }
}
