package org.cardamomthread.experiments.replication;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.Recorder;
import org.cardamomthread.replication.ReplicationGroup;

/**
 * Keeps a fixed number of commands outstanding at a leader and records their latencies.
 *
 * <p>Thread-safe.
 */
final class ClosedLoopClients {

    private static final long MAX_LATENCY_US = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1000;

    private final ReplicationGroup leader;
    private final int clients;
    private final byte[] command;
    private final Recorder latenciesUs = new Recorder(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
    private final AtomicLong failures = new AtomicLong();
    private final CountDownLatch finished;
    private volatile boolean isStopping;

    ClosedLoopClients(ReplicationGroup leader, int clients, int commandBytes) {
        this.leader = leader;
        this.clients = clients;
        this.command = new byte[commandBytes];
        this.finished = new CountDownLatch(clients);
    }

    void start() {
        for (int i = 0; i < clients; i++) {
            proposeNext();
        }
    }

    private void proposeNext() {
        if (isStopping) {
            finished.countDown();
            return;
        }
        long startNs = System.nanoTime();
        leader.propose(command)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                failures.incrementAndGet();
                                finished.countDown();
                                return;
                            }
                            long latencyUs = (System.nanoTime() - startNs) / NANOS_PER_MICRO;
                            latenciesUs.recordValue(Math.min(MAX_LATENCY_US, latencyUs));
                            proposeNext();
                        });
    }

    /** Returns the latencies recorded since the previous call, in microseconds. */
    Histogram takeLatenciesUs() {
        return latenciesUs.getIntervalHistogram();
    }

    long failures() {
        return failures.get();
    }

    void stop() throws InterruptedException {
        isStopping = true;
        finished.await();
    }
}
