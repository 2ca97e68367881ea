package org.cardamomthread.experiments.decision;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.admission.EndpointClassLimits;
import org.cardamomthread.policy.admission.QueuedRequest;
import org.cardamomthread.policy.admission.SlowStart;
import org.cardamomthread.policy.admission.WeightedFairQueue;
import org.cardamomthread.policy.profile.Priority;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time to admit a request as a function of the number of endpoints. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class AdmissionBenchmark {

    private static final int ACCOUNTS = 5;
    private static final int QUEUED_REQUESTS = 1_000;
    private static final int REQUESTS = 4_096;

    /** Number of endpoints with a concurrency limit. */
    @Param({"10", "100", "1000", "12000"})
    private int endpoints;

    private SlowStart[] limits;
    private WeightedFairQueue queue;
    private QueuedRequest[] requests;
    private int next;

    /** Creates the concurrency limits and fills the queue. */
    @Setup(Level.Trial)
    public void fill() {
        limits = new SlowStart[endpoints];
        for (int i = 0; i < endpoints; i++) {
            limits[i] = new SlowStart(new EndpointClassLimits(2, 16, 30_000), 0);
            limits[i].onAnnouncement(1, 16, false, 0);
        }
        queue = new WeightedFairQueue(QUEUED_REQUESTS + 1, account -> 1);
        requests = new QueuedRequest[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            requests[i] =
                    new QueuedRequest(
                            new RequestId("r" + i),
                            new ClientAccountId("account-" + i % ACCOUNTS),
                            Priority.URGENT,
                            1 + i % 7,
                            Long.MAX_VALUE);
        }
        for (int i = 0; i < QUEUED_REQUESTS; i++) {
            queue.offer(requests[i], 0);
        }
    }

    /**
     * Queues a request, records a first token at an endpoint and takes the next request from the
     * queue.
     *
     * @return the request taken from the queue
     */
    @Benchmark
    public Optional<QueuedRequest> admit() {
        int number = next++;
        queue.offer(requests[number & (REQUESTS - 1)], 0);
        SlowStart limit = limits[number % endpoints];
        limit.onFirstToken(100, 100, limit.limit(), 40_000, 40_000);
        return queue.poll();
    }
}
