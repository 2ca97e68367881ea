package org.cardamomthread.daemon.execution;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.generated.JobMessage;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.execution.job.JobCommand;
import org.cardamomthread.execution.job.JobOutcome;
import org.cardamomthread.execution.stream.DeliveredOutput;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the jobs assigned to this node.
 *
 * <p>Invariants: an attempt runs at most once on this node; its lease is renewed until its result
 * is recorded in the log; a job whose attempt gets no complete response is queued again.
 * Thread-safe.
 */
public final class JobRunner {

    private static final Logger LOGGER = LoggerFactory.getLogger(JobRunner.class);
    private static final long RENEW_INTERVAL_MS = JobDispatcher.LEASE_MS / 4;
    private static final int FIRST_SERVER_ERROR = 500;
    private static final int TOO_MANY_REQUESTS = 429;

    private final JobClient jobs;
    private final JobCallExecutor executor;
    private final PeerTransport transport;
    private final ControlThread control;
    private final TimeSource timeSource;
    private final Map<JobId, Integer> runningAttempts = new ConcurrentHashMap<>();

    /** Executes the call of a job. Implementations must not block. */
    @FunctionalInterface
    public interface JobCallExecutor {

        /**
         * Executes a call.
         *
         * @param job the job
         * @return completes with the response that a caller would get
         */
        CompletableFuture<ServerResponse> execute(JobMessage job);
    }

    /**
     * Creates a runner that does not run yet.
     *
     * @param jobs records the results of jobs
     * @param executor executes the calls of jobs
     * @param transport the transport to other nodes
     * @param control runs the renewal of leases
     * @param timeSource the node's clock
     */
    public JobRunner(
            JobClient jobs,
            JobCallExecutor executor,
            PeerTransport transport,
            ControlThread control,
            TimeSource timeSource) {
        this.jobs = jobs;
        this.executor = executor;
        this.transport = transport;
        this.control = control;
        this.timeSource = timeSource;
    }

    /** Starts to run the jobs assigned to this node. */
    public void start() {
        transport.register(JobDispatcher.TOPIC, this::handleAssignment);
        control.scheduleWithFixedDelay(RENEW_INTERVAL_MS, this::renewLeases);
    }

    private CompletionStage<byte[]> handleAssignment(NodeId from, byte[] payload) {
        try {
            run(JobMessage.parseFrom(payload));
        } catch (InvalidProtocolBufferException failure) {
            LOGGER.warn("dropped a malformed job assignment from node {}", from, failure);
        }
        return CompletableFuture.completedFuture(new byte[0]);
    }

    private void run(JobMessage job) {
        JobId id = new JobId(job.getJobId());
        Integer previousAttempt = runningAttempts.put(id, job.getAttempt());
        if (previousAttempt != null && previousAttempt == job.getAttempt()) {
            return;
        }
        executor.execute(job)
                .whenComplete(
                        (response, failure) -> finish(id, job.getAttempt(), response, failure));
    }

    private void finish(JobId id, int attempt, ServerResponse response, Throwable failure) {
        JobCommand command = createResultCommand(id, attempt, response, failure);
        jobs.propose(command)
                .whenComplete(
                        (outcome, proposalFailure) ->
                                completeAttempt(id, attempt, outcome, proposalFailure));
    }

    private JobCommand createResultCommand(
            JobId id, int attempt, ServerResponse response, Throwable failure) {
        long nowMs = timeSource.millis();
        boolean isFinalResponse =
                failure == null
                        && response.status() < FIRST_SERVER_ERROR
                        && response.status() != TOO_MANY_REQUESTS;
        if (!isFinalResponse) {
            return new JobCommand.Requeue(id, attempt, DeliveredOutput.EMPTY, nowMs);
        }
        ByteString result = ByteString.copyFrom(response.body());
        return new JobCommand.Complete(id, attempt, response.status(), result, nowMs);
    }

    /**
     * Stops renewing the lease of the attempt. If the result was not recorded, the lease expires
     * and the job is queued again.
     */
    private void completeAttempt(
            JobId id, int attempt, JobOutcome outcome, Throwable proposalFailure) {
        runningAttempts.remove(id, attempt);
        if (proposalFailure != null) {
            LOGGER.atInfo()
                    .addKeyValue("jobId", id)
                    .addKeyValue("attempt", attempt)
                    .log("the result was not recorded; the job will run again");
        } else if (outcome.kind() != JobOutcome.Kind.APPLIED) {
            LOGGER.atInfo()
                    .addKeyValue("jobId", id)
                    .addKeyValue("attempt", attempt)
                    .log("the result arrived too late: {}", outcome.kind());
        }
    }

    private void renewLeases() {
        long nowMs = timeSource.millis();
        runningAttempts.forEach(
                (id, attempt) ->
                        jobs.propose(
                                new JobCommand.Renew(id, attempt, JobDispatcher.LEASE_MS, nowMs)));
    }
}
