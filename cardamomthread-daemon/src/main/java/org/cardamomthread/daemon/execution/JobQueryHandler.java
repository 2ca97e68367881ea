package org.cardamomthread.daemon.execution;

import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.daemon.control.GroupQueryHandler;
import org.cardamomthread.daemon.generated.JobMessage;
import org.cardamomthread.daemon.generated.JobQuery;
import org.cardamomthread.daemon.generated.JobQueryResult;
import org.cardamomthread.execution.job.Job;
import org.cardamomthread.execution.job.JobStateMachine;

/** Answers queries for jobs on a voter. Thread-safe. */
public final class JobQueryHandler implements GroupQueryHandler {

    private final ExecutionReplica replica;
    private final JobStateMachine jobs;

    /**
     * Creates the handler.
     *
     * @param replica synchronizes access to the jobs
     * @param jobs the state machine of the jobs, part of the replica
     */
    public JobQueryHandler(ExecutionReplica replica, JobStateMachine jobs) {
        this.replica = replica;
        this.jobs = jobs;
    }

    @Override
    public byte[] query(byte[] query) {
        JobQuery parsed;
        try {
            parsed = JobQuery.parseFrom(query);
        } catch (InvalidProtocolBufferException failure) {
            throw new IllegalArgumentException("the query must be a JobQuery", failure);
        }
        return replica.read(() -> findJobs(parsed)).toByteArray();
    }

    private JobQueryResult findJobs(JobQuery query) {
        JobQueryResult.Builder result =
                JobQueryResult.newBuilder().setOpenCount(jobs.unfinishedCount());
        if (query.hasJobId()) {
            jobs.find(new JobId(query.getJobId())).ifPresent(job -> result.addJobs(toMessage(job)));
        } else {
            jobs.queued().stream()
                    .limit(query.getQueued())
                    .forEach(job -> result.addJobs(toMessage(job)));
        }
        return result.build();
    }

    private static JobMessage toMessage(Job job) {
        return JobMessage.newBuilder()
                .setJobId(job.id().value())
                .setAccount(job.account().value())
                .setService(job.service().value())
                .setRequest(job.request())
                .setAcceptedAtMs(job.acceptedAtMs())
                .setDeadlineMs(job.deadlineMs())
                .setState(job.state().name())
                .setAttempt(job.attempt())
                .setStatus(job.status())
                .setResult(job.result())
                .setReason(job.reason())
                .build();
    }
}
