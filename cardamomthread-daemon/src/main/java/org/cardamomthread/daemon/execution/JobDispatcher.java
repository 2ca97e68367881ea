package org.cardamomthread.daemon.execution;

import java.util.List;
import java.util.function.BooleanSupplier;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.generated.JobMessage;
import org.cardamomthread.daemon.generated.JobQueryResult;
import org.cardamomthread.execution.job.JobCommand;
import org.cardamomthread.execution.job.JobOutcome;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assigns queued jobs to nodes in rotation, while this node leads the group of jobs.
 *
 * <p>An assignment is committed before it is sent to the node. If the message is lost, the job is
 * queued again when its lease expires. Runs on the control thread.
 */
public final class JobDispatcher {

    /** The topic of assigned jobs. */
    public static final PeerTopic TOPIC = new PeerTopic(5, "jobs");

    /**
     * Milliseconds after which an assigned job is queued again unless its node renews the lease.
     */
    static final long LEASE_MS = 10_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(JobDispatcher.class);
    private static final long INTERVAL_MS = 500;
    private static final int MAX_ASSIGNMENTS_PER_ROUND = 32;

    private final JobClient jobs;
    private final BooleanSupplier isLeader;
    private final NodeLister liveNodes;
    private final PeerTransport transport;
    private final ControlThread control;
    private final TimeSource timeSource;
    private long assignmentCount;
    private boolean isQueryOutstanding;

    /** Lists some of the system's nodes. Implementations must not block. */
    @FunctionalInterface
    public interface NodeLister {

        /**
         * Returns the nodes.
         *
         * @return the nodes in ascending order
         */
        List<NodeId> list();
    }

    /**
     * Creates a dispatcher that does not run yet.
     *
     * @param jobs changes and queries jobs
     * @param isLeader returns whether this node leads the group
     * @param liveNodes lists the live nodes, including this one
     * @param transport the transport to other nodes
     * @param control runs the assignments
     * @param timeSource the node's clock
     */
    public JobDispatcher(
            JobClient jobs,
            BooleanSupplier isLeader,
            NodeLister liveNodes,
            PeerTransport transport,
            ControlThread control,
            TimeSource timeSource) {
        this.jobs = jobs;
        this.isLeader = isLeader;
        this.liveNodes = liveNodes;
        this.transport = transport;
        this.control = control;
        this.timeSource = timeSource;
    }

    /** Starts to assign jobs whenever this node leads the group. */
    public void start() {
        control.scheduleWithFixedDelay(INTERVAL_MS, this::dispatch);
    }

    private void dispatch() {
        if (isQueryOutstanding || !isLeader.getAsBoolean()) {
            return;
        }
        isQueryOutstanding = true;
        jobs.listQueuedJobs(MAX_ASSIGNMENTS_PER_ROUND)
                .whenComplete(
                        (queued, failure) -> control.execute(() -> assignAll(queued, failure)));
    }

    private void assignAll(JobQueryResult queued, Throwable failure) {
        isQueryOutstanding = false;
        if (failure != null) {
            LOGGER.debug("cannot query the queued jobs", failure);
            return;
        }
        if (queued.getOpenCount() > 0) {
            jobs.propose(new JobCommand.Expire(timeSource.millis()));
        }
        List<NodeId> nodes = liveNodes.list();
        for (JobMessage job : queued.getJobsList()) {
            NodeId node = nodes.get((int) Math.floorMod(assignmentCount++, (long) nodes.size()));
            assign(job, node);
        }
    }

    private void assign(JobMessage job, NodeId node) {
        int attempt = job.getAttempt() + 1;
        JobId id = new JobId(job.getJobId());
        jobs.propose(new JobCommand.Assign(id, node, attempt, LEASE_MS, timeSource.millis()))
                .whenComplete(
                        (outcome, failure) -> {
                            if (failure == null && outcome.kind() == JobOutcome.Kind.APPLIED) {
                                JobMessage assigned = job.toBuilder().setAttempt(attempt).build();
                                transport.send(node, TOPIC, assigned.toByteArray());
                            }
                        });
    }
}
