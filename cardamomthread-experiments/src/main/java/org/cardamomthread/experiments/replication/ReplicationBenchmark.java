package org.cardamomthread.experiments.replication;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.apache.commons.cli.help.HelpFormatter;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.StorageException;

/**
 * Measures the commit latency and rate, bytes, restart time and memory of a replication group that
 * syncs its log to disk.
 *
 * <p>Prints one table per measurement. The exit code is 2 for an invalid command line.
 */
public final class ReplicationBenchmark {

    private static final int USAGE_EXIT_CODE = 2;
    private static final int VOTERS = 3;
    private static final long ELECTION_TIMEOUT_MS = 3000;
    private static final long HEARTBEAT_MS = 150;
    private static final long IDLE_ELECTION_TIMEOUT_MS = 1000;
    private static final long SHORT_ELECTION_TIMEOUT_MS = 30;
    private static final long SHORT_HEARTBEAT_MS = 10;
    private static final int NO_SNAPSHOTS = Integer.MAX_VALUE;
    private static final int MAX_OPEN_COMMANDS = 5000;
    private static final long WARM_UP_SECONDS = 2;
    private static final int WARM_UP_ENTRIES = 20_000;
    private static final double MICROS_PER_MILLI = 1000;

    private final int commandBytes;
    private final long seconds;
    private final Path folder;

    private ReplicationBenchmark(int commandBytes, long seconds, Path folder) {
        this.commandBytes = commandBytes;
        this.seconds = seconds;
        this.folder = folder;
    }

    /**
     * Runs the measurement and prints its results.
     *
     * @param arguments the command line; see {@code --help}
     * @throws Exception if a replication group fails
     */
    public static void main(String[] arguments) throws Exception {
        Options options = options();
        CommandLine line = parse(options, arguments);
        if (line == null || line.hasOption("help")) {
            HelpFormatter.builder().get().printHelp("ReplicationBenchmark", "", options, "", true);
            System.exit(line == null ? USAGE_EXIT_CODE : 0);
        }
        int commandBytes = Integer.parseInt(line.getOptionValue("command-bytes", "200"));
        long seconds = Long.parseLong(line.getOptionValue("seconds", "5"));
        Path parent = Path.of(line.getOptionValue("folder", System.getProperty("java.io.tmpdir")));
        Path folder = Files.createTempDirectory(parent, "replication-benchmark");
        try {
            int[] concurrency = integers(line.getOptionValue("concurrency", "1,8,64,512"));
            int[] entries = integers(line.getOptionValue("entries", "500,50000"));
            new ReplicationBenchmark(commandBytes, seconds, folder).run(concurrency, entries);
        } finally {
            delete(folder);
        }
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder().longOpt("help").desc("print this help").get())
                .addOption(option("command-bytes", "size of a command in bytes, default 200"))
                .addOption(
                        option(
                                "seconds",
                                "duration of each commit measurement in seconds, default 5"))
                .addOption(option("folder", "parent of the temporary data folder"))
                .addOption(
                        option("concurrency", "numbers of concurrent commands, default 1,8,64,512"))
                .addOption(option("entries", "log lengths for restarts, default 500,50000"));
    }

    private static Option option(String name, String description) {
        return Option.builder().longOpt(name).hasArg().desc(description).get();
    }

    private static CommandLine parse(Options options, String[] arguments) {
        try {
            return new DefaultParser().parse(options, arguments);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return null;
        }
    }

    private static int[] integers(String list) {
        return Arrays.stream(list.split(",")).mapToInt(Integer::parseInt).toArray();
    }

    private void run(int[] concurrency, int[] entries) throws Exception {
        System.out.printf("%d voters, commands of %d bytes%n", VOTERS, commandBytes);
        System.out.println("open  commits/s  p50 ms  p99 ms  max ms  disk B/entry  sent B/entry");
        for (int open : concurrency) {
            measureCommits(open);
        }
        measureIdle();
        System.out.println("entries  snapshots  open ms  until lease ms  heap B/entry");
        writeLog(folder.resolve("warm-up"), WARM_UP_ENTRIES, NO_SNAPSHOTS);
        writeLog(folder.resolve("warm-up"), 1, NO_SNAPSHOTS);
        for (int count : entries) {
            measureRestart(count, NO_SNAPSHOTS, "none");
            measureRestart(count, 10_000, "default");
        }
    }

    private void measureCommits(int open)
            throws StorageException, InterruptedException, IOException {
        Path groupFolder = folder.resolve("commits-" + open);
        try (LocalGroup group =
                new LocalGroup(
                        groupFolder, VOTERS, ELECTION_TIMEOUT_MS, HEARTBEAT_MS, NO_SNAPSHOTS)) {
            group.start();
            ReplicationGroup leader = group.awaitLeader();
            ClosedLoopClients clients = new ClosedLoopClients(leader, open, commandBytes);
            clients.start();
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            clients.takeLatenciesUs();
            long sentBefore = group.sentBytes();
            long indexBefore = leader.status().lastIndex();
            long startNs = System.nanoTime();
            TimeUnit.SECONDS.sleep(seconds);
            Histogram latencies = clients.takeLatenciesUs();
            double elapsedSeconds = (System.nanoTime() - startNs) / 1e9;
            long entries = leader.status().lastIndex() - indexBefore;
            double sentPerEntry = (group.sentBytes() - sentBefore) / (double) entries;
            clients.stop();
            double diskPerEntry =
                    sizeOf(groupFolder.resolve("node-1")) / (double) leader.status().lastIndex();
            System.out.printf(
                    "%4d  %9.0f  %6.2f  %6.2f  %6.2f  %12.0f  %12.0f%s%n",
                    open,
                    latencies.getTotalCount() / elapsedSeconds,
                    latencies.getValueAtPercentile(50) / MICROS_PER_MILLI,
                    latencies.getValueAtPercentile(99) / MICROS_PER_MILLI,
                    latencies.getMaxValue() / MICROS_PER_MILLI,
                    diskPerEntry,
                    sentPerEntry,
                    clients.failures() == 0 ? "" : "  failures " + clients.failures());
        }
        delete(groupFolder);
    }

    /** Measures the traffic and CPU time of all replicas of one group while nothing is proposed. */
    private void measureIdle() throws Exception {
        Path groupFolder = folder.resolve("idle");
        OperatingSystemMXBean system =
                (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        try (LocalGroup group =
                new LocalGroup(
                        groupFolder,
                        VOTERS,
                        IDLE_ELECTION_TIMEOUT_MS,
                        HEARTBEAT_MS,
                        NO_SNAPSHOTS)) {
            group.start();
            group.awaitLeader();
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            long sentBefore = group.sentBytes();
            long cpuBeforeNs = system.getProcessCpuTime();
            TimeUnit.SECONDS.sleep(seconds);
            double sentPerSecond = (group.sentBytes() - sentBefore) / (double) seconds;
            double cpuMs = (system.getProcessCpuTime() - cpuBeforeNs) / 1e6;
            System.out.printf(
                    "idle group: %.0f B/s sent, %.1f ms/s of processor, three replicas together%n",
                    sentPerSecond, cpuMs / seconds);
        }
        delete(groupFolder);
    }

    private void measureRestart(int count, int snapshotEntries, String name) throws Exception {
        Path groupFolder = folder.resolve("restart-" + count + "-" + name);
        writeLog(groupFolder, count, snapshotEntries);
        long heapBefore = usedHeapBytes();
        long startNs = System.nanoTime();
        try (LocalGroup group = singleVoterGroup(groupFolder, snapshotEntries)) {
            group.start();
            double openMs = (System.nanoTime() - startNs) / 1e6;
            group.awaitLeader();
            double leaseMs = (System.nanoTime() - startNs) / 1e6;
            double heapPerEntry = (usedHeapBytes() - heapBefore) / (double) count;
            System.out.printf(
                    "%7d  %9s  %7.0f  %14.0f  %12.0f%n",
                    count, name, openMs, leaseMs, heapPerEntry);
        }
        delete(groupFolder);
    }

    /**
     * Writes a log. A separate method, so that no reference to the group remains on the stack while
     * the heap is measured.
     */
    private void writeLog(Path groupFolder, int count, int snapshotEntries) throws Exception {
        try (LocalGroup group = singleVoterGroup(groupFolder, snapshotEntries)) {
            group.start();
            proposeCommands(group.awaitLeader(), count);
        }
    }

    private static LocalGroup singleVoterGroup(Path folder, int snapshotEntries) {
        return new LocalGroup(
                folder, 1, SHORT_ELECTION_TIMEOUT_MS, SHORT_HEARTBEAT_MS, snapshotEntries);
    }

    private void proposeCommands(ReplicationGroup leader, int count) throws Exception {
        byte[] command = new byte[commandBytes];
        List<CompletableFuture<byte[]>> open = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            open.add(leader.propose(command));
            if (open.size() == MAX_OPEN_COMMANDS) {
                CompletableFuture.allOf(open.toArray(CompletableFuture[]::new)).get();
                open.clear();
            }
        }
        CompletableFuture.allOf(open.toArray(CompletableFuture[]::new)).get();
    }

    private static long usedHeapBytes() {
        System.gc();
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    private static long sizeOf(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile)
                    .mapToLong(file -> file.toFile().length())
                    .sum();
        }
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
