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

/** Changes and reads jobs in the replicated log from any node. Safe for use by several threads. */
public final class JobClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final ProposalClient proposals;

    /**
     * Creates a client.
     *
     * @param proposals reaches the replicated log
     */
    public JobClient(ProposalClient proposals) {
        this.proposals = proposals;
    }

    /**
     * Proposes a command, which may be applied more than once without harm.
     *
     * @param command the command
     * @return completes with the outcome; fails if there is none in time
     */
    public CompletableFuture<JobOutcome> propose(JobCommand command) {
        byte[] addressed = ExecutionReplica.address(ExecutionReplica.JOBS, command.toBytes());
        return proposals
                .propose(GroupDefinition.CLAIMS, addressed, TIMEOUT)
                .thenApply(JobOutcome::parse);
    }

    /**
     * Reads one job.
     *
     * @param job the job
     * @return completes with the job, or with an empty result if it is unknown
     */
    public CompletableFuture<JobQueryResult> find(JobId job) {
        return query(JobQuery.newBuilder().setJobId(job.value()).build());
    }

    /**
     * Reads the queued jobs that come first by their deadlines.
     *
     * @param most the most jobs to return
     * @return completes with the jobs
     */
    public CompletableFuture<JobQueryResult> listQueued(int most) {
        return query(JobQuery.newBuilder().setQueued(most).build());
    }

    private CompletableFuture<JobQueryResult> query(JobQuery query) {
        return proposals
                .query(GroupDefinition.CLAIMS, query.toByteArray(), TIMEOUT)
                .thenApply(JobClient::parse);
    }

    private static JobQueryResult parse(byte[] answer) {
        try {
            return JobQueryResult.parseFrom(answer);
        } catch (InvalidProtocolBufferException failure) {
            throw new IllegalStateException(
                    "the voters must answer with a JobQueryResult", failure);
        }
    }
}
