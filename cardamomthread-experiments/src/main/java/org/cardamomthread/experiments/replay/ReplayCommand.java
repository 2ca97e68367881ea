package org.cardamomthread.experiments.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Replays the workloads with the strategies, prints a table and writes a CSV file and a plot. */
public final class ReplayCommand {

    private static final String DEFAULT_SEEDS = "5";
    private static final String DEFAULT_OUTPUT = "target/replay";

    private ReplayCommand() {}

    /**
     * Runs the replays. The exit code is 2 for an invalid command line.
     *
     * @param arguments {@code --seeds N}, {@code --output FOLDER}, {@code --workload NAME} and
     *     {@code --strategy NAME}
     * @throws IOException if the output folder cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        Options options = new Options();
        options.addOption(null, "seeds", true, "number of seeds, which are counted from 1");
        options.addOption(null, "output", true, "folder for the CSV file and the plot");
        options.addOption(null, "workload", true, "coldwater or serra; both if absent");
        options.addOption(null, "strategy", true, "name of a strategy; all if absent");
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            run(
                    Integer.parseInt(line.getOptionValue("seeds", DEFAULT_SEEDS)),
                    Path.of(line.getOptionValue("output", DEFAULT_OUTPUT)),
                    line.getOptionValue("workload", ""),
                    line.getOptionValue("strategy", ""));
        } catch (ParseException | NumberFormatException exception) {
            System.err.println(exception.getMessage() + "; use --seeds N --output FOLDER");
            System.exit(2);
        }
    }

    private static void run(int seeds, Path output, String onlyWorkload, String onlyStrategy)
            throws IOException {
        List<ReplayRow> rows = new ArrayList<>();
        if (!onlyWorkload.equals("serra")) {
            rows.addAll(replay("coldwater", ColdwaterWorkload::generate, seeds, onlyStrategy));
        }
        if (!onlyWorkload.equals("coldwater")) {
            rows.addAll(replay("serra", SerraWorkload::generate, seeds, onlyStrategy));
        }
        ReplayReport report = new ReplayReport(rows);
        System.out.print(report.table());
        Files.createDirectories(output);
        Files.writeString(output.resolve("replay.csv"), report.csv());
        Files.writeString(output.resolve("replay.svg"), report.svg());
    }

    private static List<ReplayRow> replay(
            String name, LongFunction<Workload> generator, int seeds, String onlyStrategy) {
        List<ReplayRow> rows = new ArrayList<>();
        for (int i = 0; i < Strategies.all().size(); i++) {
            int number = i;
            String strategy = Strategies.all().get(i).name();
            if (onlyStrategy.isEmpty() || onlyStrategy.equals(strategy)) {
                List<ReplayResult> results =
                        LongStream.rangeClosed(1, seeds)
                                .parallel()
                                .mapToObj(
                                        seed ->
                                                new Replay(
                                                                generator.apply(seed),
                                                                Strategies.all().get(number),
                                                                seed)
                                                        .run())
                                .toList();
                rows.add(new ReplayRow(name, strategy, results));
            }
        }
        return rows;
    }
}
