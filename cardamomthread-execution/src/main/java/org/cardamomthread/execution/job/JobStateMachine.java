package org.cardamomthread.execution.job;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.execution.generated.JobSnapshotMessage;
import org.cardamomthread.execution.job.JobOutcome.Kind;
import org.cardamomthread.execution.stream.DeliveredOutput;
import org.cardamomthread.replication.StateMachine;

/**
 * Replicated state machine that retains accepted jobs until they are completed or failed.
 *
 * <p>Invariants: an accepted job is queued, assigned or in a final state, and a final state never
 * changes; only the current attempt may change a job, so a late result of an earlier attempt is
 * ignored; a job is queued again when its node does not renew the lease in time. A deadline never
 * ends a job; it only determines the order of the queue. Commands are idempotent. Not thread-safe:
 * the log applies commands one at a time.
 */
public final class JobStateMachine implements StateMachine {

    private final long retentionMs;
    private final Map<JobId, Job> jobs = new LinkedHashMap<>();
    private long logTimeMs;

    /**
     * Creates a state machine without jobs.
     *
     * @param retentionMs how long a finished job is retained, in milliseconds; must be the same on
     *     every replica
     */
    public JobStateMachine(long retentionMs) {
        if (retentionMs <= 0) {
            throw new IllegalArgumentException("retentionMs " + retentionMs + " must be positive");
        }
        this.retentionMs = retentionMs;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return apply(JobCommand.parse(command)).toBytes();
    }

    private JobOutcome apply(JobCommand command) {
        if (command instanceof JobCommand.Accept accept) {
            jobs.putIfAbsent(accept.id(), Job.newlyAccepted(accept));
            return new JobOutcome(Kind.APPLIED, jobs.get(accept.id()).attempt());
        }
        if (command instanceof JobCommand.Assign assign) {
            return assign(assign);
        }
        if (command instanceof JobCommand.Renew renew) {
            return updateCurrentAttempt(
                    renew.id(),
                    renew.attempt(),
                    job ->
                            job.toAssigned(
                                    job.node().orElseThrow(),
                                    job.attempt(),
                                    leaseEndMs(renew.atMs(), renew.leaseMs())));
        }
        if (command instanceof JobCommand.Requeue requeue) {
            return updateCurrentAttempt(
                    requeue.id(),
                    requeue.attempt(),
                    job -> job.toQueued(withMoreTokens(job.delivered(), requeue.delivered())));
        }
        if (command instanceof JobCommand.Complete complete) {
            return finish(
                    complete.id(),
                    complete.attempt(),
                    JobState.COMPLETED,
                    job ->
                            job.toFinished(
                                    JobState.COMPLETED,
                                    complete.status(),
                                    complete.result(),
                                    "",
                                    complete.atMs()));
        }
        if (command instanceof JobCommand.Fail fail) {
            return finish(
                    fail.id(),
                    fail.attempt(),
                    JobState.FAILED,
                    job ->
                            job.toFinished(
                                    JobState.FAILED,
                                    0,
                                    ByteString.EMPTY,
                                    fail.reason(),
                                    fail.atMs()));
        }
        return expire((JobCommand.Expire) command);
    }

    private JobOutcome assign(JobCommand.Assign assign) {
        Job job = jobs.get(assign.id());
        if (job == null) {
            return new JobOutcome(Kind.NO_SUCH_JOB, 0);
        }
        boolean alreadyApplied =
                job.state() == JobState.ASSIGNED
                        && job.attempt() == assign.attempt()
                        && job.node().equals(Optional.of(assign.node()));
        if (alreadyApplied) {
            return new JobOutcome(Kind.APPLIED, job.attempt());
        }
        if (job.state() != JobState.QUEUED || assign.attempt() != job.attempt() + 1) {
            return new JobOutcome(Kind.STALE, job.attempt());
        }
        long leaseEndMs = leaseEndMs(assign.atMs(), assign.leaseMs());
        jobs.put(job.id(), job.toAssigned(assign.node(), assign.attempt(), leaseEndMs));
        return new JobOutcome(Kind.APPLIED, assign.attempt());
    }

    private JobOutcome updateCurrentAttempt(JobId id, int attempt, UnaryOperator<Job> transition) {
        Job job = jobs.get(id);
        if (job == null) {
            return new JobOutcome(Kind.NO_SUCH_JOB, 0);
        }
        if (job.state() != JobState.ASSIGNED || job.attempt() != attempt) {
            return new JobOutcome(Kind.STALE, job.attempt());
        }
        jobs.put(id, transition.apply(job));
        return new JobOutcome(Kind.APPLIED, attempt);
    }

    private JobOutcome finish(
            JobId id, int attempt, JobState finalState, UnaryOperator<Job> transition) {
        Job job = jobs.get(id);
        if (job != null && job.state() == finalState && job.attempt() == attempt) {
            return new JobOutcome(Kind.APPLIED, attempt);
        }
        return updateCurrentAttempt(id, attempt, transition);
    }

    private JobOutcome expire(JobCommand.Expire expire) {
        logTimeMs = Math.max(logTimeMs, expire.atMs());
        jobs.values()
                .removeIf(
                        job ->
                                job.state().isFinal()
                                        && logTimeMs - job.finishedAtMs() > retentionMs);
        jobs.replaceAll((id, job) -> isLeaseExpired(job) ? job.toQueued(job.delivered()) : job);
        return new JobOutcome(Kind.APPLIED, 0);
    }

    private boolean isLeaseExpired(Job job) {
        return job.state() == JobState.ASSIGNED && logTimeMs >= job.leaseEndMs();
    }

    private long leaseEndMs(long atMs, long leaseMs) {
        return Math.max(logTimeMs, atMs) + leaseMs;
    }

    private static DeliveredOutput withMoreTokens(DeliveredOutput first, DeliveredOutput second) {
        return second.tokens() > first.tokens() ? second : first;
    }

    /**
     * Finds a job by its identifier.
     *
     * @param id identifier under which the job was accepted
     * @return the job, or empty if it was never accepted or is no longer retained
     */
    public Optional<Job> find(JobId id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Returns the queued jobs, ordered by deadline.
     *
     * @return a copy of the queue, earliest deadline first
     */
    public List<Job> queued() {
        List<Job> queued = new ArrayList<>(jobsInState(JobState.QUEUED));
        queued.sort(Comparator.comparingLong(Job::deadlineMs));
        return queued;
    }

    /**
     * Returns the jobs that are assigned to a node.
     *
     * @param node the node that holds the leases
     * @return a copy of the assigned jobs, in the order of their acceptance
     */
    public List<Job> assignedTo(NodeId node) {
        return jobsInState(JobState.ASSIGNED).stream()
                .filter(job -> job.node().equals(Optional.of(node)))
                .toList();
    }

    /**
     * Returns the number of jobs that are not in a final state.
     *
     * @return number of queued and assigned jobs
     */
    public int unfinishedCount() {
        return jobsInState(JobState.QUEUED).size() + jobsInState(JobState.ASSIGNED).size();
    }

    private List<Job> jobsInState(JobState state) {
        return jobs.values().stream().filter(job -> job.state() == state).toList();
    }

    @Override
    public byte[] snapshot() {
        JobSnapshotMessage.Builder snapshot =
                JobSnapshotMessage.newBuilder().setHighestAtMs(logTimeMs);
        jobs.values().forEach(job -> snapshot.addJobs(job.toMessage()));
        return snapshot.build().toByteArray();
    }

    @Override
    public void restore(byte[] state) {
        JobSnapshotMessage snapshot;
        try {
            snapshot = JobSnapshotMessage.parseFrom(state);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the state is not a valid JobSnapshotMessage", e);
        }
        jobs.clear();
        logTimeMs = snapshot.getHighestAtMs();
        snapshot.getJobsList().forEach(message -> put(Job.fromMessage(message)));
    }

    private void put(Job job) {
        jobs.put(job.id(), job);
    }
}
