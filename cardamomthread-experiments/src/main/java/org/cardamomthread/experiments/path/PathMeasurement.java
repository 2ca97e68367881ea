package org.cardamomthread.experiments.path;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Measures what a node adds to direct calls. Both are measured alternately, so that they see the
 * same load on the host.
 *
 * <p>Not thread-safe.
 */
final class PathMeasurement {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int ROUNDS = 5;
    private static final long MAX_FIRST_TOKEN_WAIT_MS = 30_000;
    private static final long POLL_MS = 100;
    private static final double MEDIAN_PERCENTILE = 50;
    private static final double HIGH_PERCENTILE = 99;
    private static final double US_PER_MS = 1_000;

    private final LoadClient client;
    private final MeasuredTarget direct;
    private final MeasuredTarget node;

    PathMeasurement(LoadClient client, MeasuredTarget direct, MeasuredTarget node) {
        this.client = client;
        this.direct = direct;
        this.node = node;
    }

    /** Calls both targets alternately, one call at a time, and prints latency percentiles. */
    void measureLatency(int calls) throws InterruptedException, ExecutionException {
        Histogram directResults = new Histogram(SIGNIFICANT_DIGITS);
        Histogram nodeResults = new Histogram(SIGNIFICANT_DIGITS);
        for (int i = 0; i < calls; i++) {
            directResults.recordValue(measureCallUs(direct));
            nodeResults.recordValue(measureCallUs(node));
        }
        for (double percentile : new double[] {MEDIAN_PERCENTILE, HIGH_PERCENTILE}) {
            double directMs = directResults.getValueAtPercentile(percentile) / US_PER_MS;
            double nodeMs = nodeResults.getValueAtPercentile(percentile) / US_PER_MS;
            System.out.printf(
                    "latency p%.0f: direct %.3f ms, node %.3f ms, added %.3f ms (%d calls each)%n",
                    percentile, directMs, nodeMs, nodeMs - directMs, calls);
        }
    }

    /** Calls both targets alternately with concurrent calls and prints the request rates. */
    void measureThroughput(int concurrency, long roundMs) throws InterruptedException {
        long directResults = 0;
        long nodeResults = 0;
        for (int round = 0; round < ROUNDS; round++) {
            directResults += countCalls(direct, concurrency, roundMs);
            nodeResults += countCalls(node, concurrency, roundMs);
        }
        double seconds = ROUNDS * roundMs / 1_000.0;
        System.out.printf(
                "requests a second, %d at a time: direct %.0f, node %.0f (%.0f s each)%n",
                concurrency, directResults / seconds, nodeResults / seconds, seconds);
    }

    /** Streams chats from both targets and prints the token rates. */
    void measureStreaming(int streams, int tokens) throws InterruptedException {
        for (MeasuredTarget target : List.of(direct, node)) {
            AtomicLong received = new AtomicLong();
            long startNs = System.nanoTime();
            List<CompletableFuture<Void>> running = new ArrayList<>();
            for (int i = 0; i < streams; i++) {
                running.add(client.stream(target, tokens, received));
            }
            int failed = countFailures(running);
            double seconds = (System.nanoTime() - startNs) / 1e9;
            System.out.printf(
                    "tokens a second, %s: %.0f (%d streams of %d, %d failed, %.1f s)%n",
                    target.name(), received.get() / seconds, streams, tokens, failed, seconds);
        }
    }

    /** Prints the resident memory of the node before and while many streams are open. */
    void measureMemory(long pid, int streams, int tokens) throws IOException, InterruptedException {
        System.out.printf("resident memory before the streams: %d kB%n", residentKb(pid));
        AtomicLong received = new AtomicLong();
        List<CompletableFuture<Void>> running = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            running.add(client.stream(node, tokens, received));
        }
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_FIRST_TOKEN_WAIT_MS);
        while (received.get() < streams && System.nanoTime() < endNs) {
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        long open = running.stream().filter(stream -> !stream.isDone()).count();
        System.out.printf(
                "resident memory with %d streams open: %d kB (%d tokens so far)%n",
                open, residentKb(pid), received.get());
        int failed = countFailures(running);
        System.out.printf(
                "of %d streams %d failed; tokens received %d of %d%n",
                streams, failed, received.get(), (long) streams * (tokens + 1));
    }

    static long residentKb(long pid) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc", Long.toString(pid), "status"))) {
            if (line.startsWith("VmRSS:")) {
                return Long.parseLong(line.replaceAll("\\D", ""));
            }
        }
        throw new IOException(
                "process " + pid + " has no VmRSS in its status: it must run while it is measured");
    }

    private long measureCallUs(MeasuredTarget target)
            throws InterruptedException, ExecutionException {
        long startNs = System.nanoTime();
        client.callService(target).get();
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    }

    private long countCalls(MeasuredTarget target, int concurrency, long roundMs)
            throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(roundMs);
        AtomicLong done = new AtomicLong();
        List<CompletableFuture<Void>> workers = new ArrayList<>();
        for (int i = 0; i < concurrency; i++) {
            CompletableFuture<Void> worker = new CompletableFuture<>();
            workers.add(worker);
            callUntil(target, endNs, done, worker);
        }
        countFailures(workers);
        return done.get();
    }

    private void callUntil(
            MeasuredTarget target, long endNs, AtomicLong done, CompletableFuture<Void> worker) {
        if (System.nanoTime() >= endNs) {
            worker.complete(null);
            return;
        }
        client.callService(target)
                .whenCompleteAsync(
                        (ignored, failure) -> {
                            if (failure != null) {
                                worker.completeExceptionally(failure);
                                return;
                            }
                            done.incrementAndGet();
                            callUntil(target, endNs, done, worker);
                        });
    }

    private static int countFailures(List<CompletableFuture<Void>> all)
            throws InterruptedException {
        int failed = 0;
        for (CompletableFuture<Void> one : all) {
            try {
                one.get();
            } catch (ExecutionException e) {
                failed++;
                if (failed == 1) {
                    System.out.println("first failure: " + e.getCause().getMessage());
                }
            }
        }
        return failed;
    }
}
