package org.cardamomthread.daemon.execution;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.generated.JobQuery;
import org.cardamomthread.daemon.generated.JobQueryResult;
import org.cardamomthread.execution.job.JobCommand;
import org.cardamomthread.execution.job.JobOutcome;

/** Changes and queries replicated jobs from any node. Thread-safe. */
public final class JobClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ProposalClient proposals;

    /**
     * Creates a client.
     *
     * @param proposals sends commands and queries to the group of jobs
     */
    public JobClient(ProposalClient proposals) {
        this.proposals = proposals;
    }

    /**
     * Proposes a command; it may be applied more than once, which has no further effect.
     *
     * @param command the command
     * @return completes with the outcome; fails if there is none within the timeout
     */
    public CompletableFuture<JobOutcome> propose(JobCommand command) {
        byte[] prefixedCommand =
                ExecutionReplica.prefixCommand(ExecutionReplica.JOBS, command.toBytes());
        return proposals
                .propose(GroupDefinition.CLAIMS, prefixedCommand, TIMEOUT)
                .thenApply(JobOutcome::parse);
    }

    /**
     * Queries one job.
     *
     * @param job the job
     * @return completes with the job, or with an empty result if it is unknown
     */
    public CompletableFuture<JobQueryResult> findJob(JobId job) {
        return query(JobQuery.newBuilder().setJobId(job.value()).build());
    }

    /**
     * Queries the queued jobs with the earliest deadlines.
     *
     * @param maxJobs the maximum number of jobs to return
     * @return completes with the jobs
     */
    public CompletableFuture<JobQueryResult> listQueuedJobs(int maxJobs) {
        return query(JobQuery.newBuilder().setQueued(maxJobs).build());
    }

    private CompletableFuture<JobQueryResult> query(JobQuery query) {
        return proposals
                .query(GroupDefinition.CLAIMS, query.toByteArray(), TIMEOUT)
                .thenApply(JobClient::parse);
    }

    private static JobQueryResult parse(byte[] response) {
        try {
            return JobQueryResult.parseFrom(response);
        } catch (InvalidProtocolBufferException failure) {
            throw new IllegalStateException(
                    "the voters must respond with a JobQueryResult", failure);
        }
    }
}
