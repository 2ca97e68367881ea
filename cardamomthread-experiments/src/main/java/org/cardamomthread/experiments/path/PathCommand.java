package org.cardamomthread.experiments.path;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Measures one node against direct calls to the stand-ins behind it.
 *
 * <p>The processes are started by {@code cardamomthread-experiments/path/run}. Stateless and safe
 * for use by several threads.
 */
public final class PathCommand {

    private static final int USAGE_EXIT_CODE = 2;
    private static final int WARM_UP_CALLS = 3_000;

    private PathCommand() {}

    /**
     * Runs the measurement.
     *
     * @param arguments the command line
     * @throws IOException if the node's memory could not be read
     * @throws InterruptedException if it was stopped
     * @throws ExecutionException if a call failed
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
        Target direct =
                new Target(
                        "direct",
                        "http://" + line.getOptionValue("service"),
                        "http://" + line.getOptionValue("engine") + "/v1/chat/completions",
                        "");
        Target node =
                new Target(
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
            measurement.latency(WARM_UP_CALLS);
            System.out.println("measured:");
            measurement.latency(calls);
            for (int concurrency : new int[] {1, 8, 32}) {
                measurement.throughput(concurrency, roundMs);
            }
            measurement.streaming(32, 500);
            measurement.streaming(32, 2_000);
            measurement.memory(pid, 1_000, 60);
        }
    }
}
