package org.cardamomthread.experiments.replay;

import java.util.List;
import java.util.Locale;
import java.util.stream.DoubleStream;
import java.util.stream.LongStream;

/**
 * Simulates version moves with and without faults at the call rates of both workloads and prints a
 * table.
 */
public final class MoveReplayCommand {

    private static final int DEFAULT_MOVES = 100;
    private static final long PROMPT_STOP_MS = 10_000;

    private MoveReplayCommand() {}

    /**
     * Runs the measurement and prints its results.
     *
     * @param arguments the number of moves per fault and workload; 100 if absent
     */
    public static void main(String[] arguments) {
        int moves = arguments.length == 0 ? DEFAULT_MOVES : Integer.parseInt(arguments[0]);
        System.out.printf(
                Locale.ROOT,
                "%-10s %-13s %6s %6s %6s %9s %9s %9s %9s %9s%n",
                "workload",
                "fault",
                "moves",
                "done",
                "back",
                "share",
                "share max",
                "stop p50",
                "stop p95",
                "<= 10 s");
        for (VersionMoveFault fault : VersionMoveFault.values()) {
            print("coldwater", fault, run(VersionMoveReplay.coldwater(), fault, moves));
            print("serra", fault, run(VersionMoveReplay.serra(), fault, moves));
        }
    }

    private static List<VersionMoveOutcome> run(
            VersionMoveReplay replay, VersionMoveFault fault, int moves) {
        return LongStream.rangeClosed(1, moves)
                .parallel()
                .mapToObj(seed -> replay.run(fault, seed))
                .toList();
    }

    private static void print(
            String workload, VersionMoveFault fault, List<VersionMoveOutcome> outcomes) {
        long done = outcomes.stream().filter(VersionMoveOutcome::completed).count();
        double[] shares =
                outcomes.stream()
                        .mapToDouble(VersionMoveOutcome::newVersionShare)
                        .sorted()
                        .toArray();
        long[] stops =
                outcomes.stream()
                        .filter(outcome -> !outcome.completed())
                        .mapToLong(VersionMoveOutcome::detectionDelayMs)
                        .sorted()
                        .toArray();
        double meanShare = DoubleStream.of(shares).average().orElse(0);
        long prompt = LongStream.of(stops).filter(ms -> ms <= PROMPT_STOP_MS).count();
        System.out.printf(
                Locale.ROOT,
                "%-10s %-13s %6d %6d %6d %9.4f %9.4f %9.1f %9.1f %9.2f%n",
                workload,
                fault,
                outcomes.size(),
                done,
                outcomes.size() - done,
                meanShare,
                shares[shares.length - 1],
                quantile(stops, 0.5) / 1_000.0,
                quantile(stops, 0.95) / 1_000.0,
                stops.length == 0 ? 1.0 : (double) prompt / stops.length);
    }

    private static long quantile(long[] sorted, double share) {
        return sorted.length == 0
                ? 0
                : sorted[Math.min(sorted.length - 1, (int) (share * sorted.length))];
    }
}
