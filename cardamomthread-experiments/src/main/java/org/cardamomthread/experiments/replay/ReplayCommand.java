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

/** Replays both workloads through all strategies and writes a table, a CSV file and a plot. */
public final class ReplayCommand {

    private static final String DEFAULT_SEEDS = "5";
    private static final String DEFAULT_OUTPUT = "target/replay";

    private ReplayCommand() {}

    /**
     * Runs the program. Exits with 2 on a wrong command line.
     *
     * @param arguments {@code --seeds N} and {@code --output FOLDER}
     * @throws IOException if the output folder is not writable
     */
    public static void main(String[] arguments) throws IOException {
        Options options = new Options();
        options.addOption(null, "seeds", true, "number of seeds, from 1");
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

    private static void run(int seeds, Path output, String only, String strategy)
            throws IOException {
        List<ReplayRow> rows = new ArrayList<>();
        if (!only.equals("serra")) {
            rows.addAll(replay("coldwater", ColdwaterWorkload::generate, seeds, strategy));
        }
        if (!only.equals("coldwater")) {
            rows.addAll(replay("serra", SerraWorkload::generate, seeds, strategy));
        }
        ReplayReport report = new ReplayReport(rows);
        System.out.print(report.table());
        Files.createDirectories(output);
        Files.writeString(output.resolve("replay.csv"), report.csv());
        Files.writeString(output.resolve("replay.svg"), report.svg());
    }

    private static List<ReplayRow> replay(
            String name, LongFunction<Workload> generator, int seeds, String only) {
        List<ReplayRow> rows = new ArrayList<>();
        for (int i = 0; i < Strategies.all().size(); i++) {
            int number = i;
            String strategy = Strategies.all().get(i).name();
            if (only.isEmpty() || only.equals(strategy)) {
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
