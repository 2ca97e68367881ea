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
 * Measures what a node adds to direct calls, in turns so that both meet the same host.
 *
 * <p>Used by one thread.
 */
final class PathMeasurement {

    private static final int DIGITS = 3;
    private static final int ROUNDS = 5;
    private static final long SETTLE_MS = 3_000;
    private static final double MEDIAN = 50;
    private static final double HIGH = 99;
    private static final double US_PER_MS = 1_000;

    private final LoadClient client;
    private final Target direct;
    private final Target node;

    PathMeasurement(LoadClient client, Target direct, Target node) {
        this.client = client;
        this.direct = direct;
        this.node = node;
    }

    /** Calls each way in turns, one call at a time, and prints the quantiles. */
    void latency(int calls) throws InterruptedException, ExecutionException {
        Histogram ofDirect = new Histogram(DIGITS);
        Histogram ofNode = new Histogram(DIGITS);
        for (int i = 0; i < calls; i++) {
            ofDirect.recordValue(timeUs(direct));
            ofNode.recordValue(timeUs(node));
        }
        for (double quantile : new double[] {MEDIAN, HIGH}) {
            double directMs = ofDirect.getValueAtPercentile(quantile) / US_PER_MS;
            double nodeMs = ofNode.getValueAtPercentile(quantile) / US_PER_MS;
            System.out.printf(
                    "latency p%.0f: direct %.3f ms, node %.3f ms, added %.3f ms (%d calls each)%n",
                    quantile, directMs, nodeMs, nodeMs - directMs, calls);
        }
    }

    /** Calls each way in turns with many calls at a time, and prints the rates. */
    void throughput(int concurrency, long roundMs) throws InterruptedException {
        long ofDirect = 0;
        long ofNode = 0;
        for (int round = 0; round < ROUNDS; round++) {
            ofDirect += callsIn(direct, concurrency, roundMs);
            ofNode += callsIn(node, concurrency, roundMs);
        }
        double seconds = ROUNDS * roundMs / 1_000.0;
        System.out.printf(
                "requests a second, %d at a time: direct %.0f, node %.0f (%.0f s each)%n",
                concurrency, ofDirect / seconds, ofNode / seconds, seconds);
    }

    /** Streams chats each way and prints the rates of tokens. */
    void streaming(int streams, int tokens) throws InterruptedException {
        for (Target target : List.of(direct, node)) {
            AtomicLong received = new AtomicLong();
            long startNs = System.nanoTime();
            List<CompletableFuture<Void>> running = new ArrayList<>();
            for (int i = 0; i < streams; i++) {
                running.add(client.stream(target, tokens, received));
            }
            int failed = awaitAll(running);
            double seconds = (System.nanoTime() - startNs) / 1e9;
            System.out.printf(
                    "tokens a second, %s: %.0f (%d streams of %d, %d failed, %.1f s)%n",
                    target.name(), received.get() / seconds, streams, tokens, failed, seconds);
        }
    }

    /** Prints the resident memory of the node before and while many streams are open. */
    void memory(long pid, int streams, int tokens) throws IOException, InterruptedException {
        System.out.printf("resident memory before the streams: %d kB%n", residentKb(pid));
        AtomicLong received = new AtomicLong();
        List<CompletableFuture<Void>> running = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            running.add(client.stream(node, tokens, received));
        }
        TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
        long open = running.stream().filter(stream -> !stream.isDone()).count();
        System.out.printf(
                "resident memory with %d streams open: %d kB (%d tokens so far)%n",
                open, residentKb(pid), received.get());
        int failed = awaitAll(running);
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
        throw new IOException("process " + pid + " must run while it is measured");
    }

    private long timeUs(Target target) throws InterruptedException, ExecutionException {
        long startNs = System.nanoTime();
        client.callService(target).get();
        return TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNs);
    }

    private long callsIn(Target target, int concurrency, long roundMs) throws InterruptedException {
        long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(roundMs);
        AtomicLong done = new AtomicLong();
        List<CompletableFuture<Void>> workers = new ArrayList<>();
        for (int i = 0; i < concurrency; i++) {
            CompletableFuture<Void> worker = new CompletableFuture<>();
            workers.add(worker);
            callUntil(target, endNs, done, worker);
        }
        awaitAll(workers);
        return done.get();
    }

    private void callUntil(
            Target target, long endNs, AtomicLong done, CompletableFuture<Void> worker) {
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

    private static int awaitAll(List<CompletableFuture<Void>> all) throws InterruptedException {
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
