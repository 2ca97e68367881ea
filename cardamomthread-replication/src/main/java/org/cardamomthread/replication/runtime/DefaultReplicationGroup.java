package org.cardamomthread.replication.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.GroupUnavailableException;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.ReplicationTransport;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.storage.LogStorage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a replica on a thread of its own, which syncs all inputs that have gathered at once.
 *
 * <p>After a storage failure the replica stops for good: it sends nothing, refuses commands, and
 * the status holds the reason. Safe for use by several threads.
 */
public final class DefaultReplicationGroup implements ReplicationGroup {

    private static final Logger LOG = LoggerFactory.getLogger(DefaultReplicationGroup.class);
    private static final int MAX_BATCH_INPUTS = 4096;
    private static final int MAX_QUEUED_INPUTS = 16_384;
    private static final int TICKS_PER_HEARTBEAT = 3;
    private static final int MAX_COMMAND_BYTES = 2 * 1024 * 1024;
    private static final long CLOSE_TIMEOUT_MS = 5000;

    private final GroupId groupId;
    private final ReplicationSettings settings;
    private final TimeSource timeSource;
    private final ReplicaDriver driver;
    private final BlockingQueue<Runnable> inputs = new LinkedBlockingQueue<>();
    private final AtomicInteger pendingProposalCount = new AtomicInteger();
    private final Thread thread;
    private volatile boolean isClosing;
    private volatile PublishedStatus publishedStatus;

    /** Holds a status and when it was taken. */
    private record PublishedStatus(ReplicationStatus status, long publishedAtMs) {}

    /**
     * Creates a group's replica; {@link #start()} begins its work.
     *
     * @param groupId the group
     * @param nodeId this node
     * @param settings the settings
     * @param storage the storage, not open yet; closed with the group
     * @param stateMachine the state that the log builds up
     * @param transport sends messages to other nodes
     * @param timeSource the clock
     * @param random spreads election timeouts
     */
    public DefaultReplicationGroup(
            GroupId groupId,
            NodeId nodeId,
            ReplicationSettings settings,
            LogStorage storage,
            StateMachine stateMachine,
            ReplicationTransport transport,
            TimeSource timeSource,
            RandomGenerator random) {
        this.groupId = groupId;
        this.settings = settings;
        this.timeSource = timeSource;
        this.driver =
                new ReplicaDriver(
                        groupId,
                        nodeId,
                        settings,
                        storage,
                        stateMachine,
                        transport,
                        timeSource,
                        random);
        this.thread = new Thread(this::run, "replication-" + groupId);
        this.thread.setDaemon(true);
    }

    @Override
    public void start() throws StorageException {
        try {
            driver.open();
        } catch (StorageException e) {
            driver.close(e.getMessage());
            throw e;
        }
        publishStatus();
        thread.start();
    }

    private void run() {
        List<Runnable> batch = new ArrayList<>();
        try {
            while (!isClosing) {
                awaitInputs(batch);
                driver.tick();
                batch.forEach(Runnable::run);
                batch.clear();
                driver.flush();
                publishStatus();
            }
            stop("closed; start the node again");
        } catch (StorageException e) {
            LOG.error("group {} stops on this node: {}", groupId, e.getMessage(), e);
            stop(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stop("interrupted; start the node again");
        } catch (RuntimeException e) {
            LOG.error("group {} stops on this node after an internal error", groupId, e);
            stop("internal error: " + e + "; report it with the log and restart the node");
        }
        batch.forEach(Runnable::run);
    }

    private void awaitInputs(List<Runnable> batch) throws InterruptedException {
        long waitMs = Math.max(1, settings.heartbeatMs() / TICKS_PER_HEARTBEAT);
        Runnable first = inputs.poll(waitMs, TimeUnit.MILLISECONDS);
        if (first != null) {
            batch.add(first);
            inputs.drainTo(batch, MAX_BATCH_INPUTS);
        }
    }

    private void publishStatus() {
        publishedStatus = new PublishedStatus(driver.status(), timeSource.monotonicMs());
    }

    private void stop(String reason) {
        ReplicationStatus last = publishedStatus.status();
        publishedStatus =
                new PublishedStatus(
                        new ReplicationStatus(
                                last.groupId(),
                                last.nodeId(),
                                last.voterId(),
                                ReplicaRole.STOPPED,
                                last.term(),
                                Optional.empty(),
                                0,
                                last.commitIndex(),
                                last.appliedIndex(),
                                last.lastIndex(),
                                last.snapshotIndex(),
                                last.members(),
                                Optional.of(reason)),
                        timeSource.monotonicMs());
        driver.close(reason);
        rejectQueuedInputs();
    }

    /** Runs inputs that came too late; each finds the replica stopped. */
    private void rejectQueuedInputs() {
        Runnable input = inputs.poll();
        while (input != null) {
            input.run();
            input = inputs.poll();
        }
    }

    private boolean isStopped() {
        PublishedStatus current = publishedStatus;
        return current == null || current.status().role() == ReplicaRole.STOPPED;
    }

    private GroupUnavailableException unavailableException() {
        PublishedStatus current = publishedStatus;
        String reason =
                current == null
                        ? "it is not started; start it first"
                        : current.status().failure().orElse("it is closing");
        return new GroupUnavailableException(groupId, reason);
    }

    @Override
    public void receive(NodeId from, byte[] message) {
        if (inputs.size() < MAX_QUEUED_INPUTS && !isStopped()) {
            inputs.add(
                    () -> {
                        if (!isStopped()) {
                            driver.receive(from, message);
                        }
                    });
        }
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        if (command.length > MAX_COMMAND_BYTES) {
            future.completeExceptionally(
                    new GroupUnavailableException(
                            groupId,
                            "the command has "
                                    + command.length
                                    + " bytes; keep it within "
                                    + MAX_COMMAND_BYTES));
            return future;
        }
        if (pendingProposalCount.incrementAndGet() > settings.maxPendingProposals()) {
            pendingProposalCount.decrementAndGet();
            future.completeExceptionally(
                    new GroupUnavailableException(
                            groupId, "too many commands wait; retry after a pause"));
            return future;
        }
        submit(future, result -> driver.propose(command, result));
        return future.whenComplete((answer, failure) -> pendingProposalCount.decrementAndGet());
    }

    @Override
    public CompletableFuture<Long> readBarrier() {
        CompletableFuture<Long> future = new CompletableFuture<>();
        submit(future, driver::readBarrier);
        return future;
    }

    private <T> void submit(CompletableFuture<T> future, Consumer<CompletableFuture<T>> action) {
        inputs.add(
                () -> {
                    if (isStopped()) {
                        future.completeExceptionally(unavailableException());
                    } else {
                        action.accept(future);
                    }
                });
        if (isStopped()) {
            rejectQueuedInputs();
        }
    }

    @Override
    public ReplicationStatus status() {
        PublishedStatus current = publishedStatus;
        if (current == null) {
            throw new IllegalStateException("group \"" + groupId + "\" must be started first");
        }
        ReplicationStatus status = current.status();
        long ageMs = timeSource.monotonicMs() - current.publishedAtMs();
        return new ReplicationStatus(
                status.groupId(),
                status.nodeId(),
                status.voterId(),
                status.role(),
                status.term(),
                status.leader(),
                Math.max(0, status.leaseRemainingMs() - ageMs),
                status.commitIndex(),
                status.appliedIndex(),
                status.lastIndex(),
                status.snapshotIndex(),
                status.members(),
                status.failure());
    }

    @Override
    public CompletableFuture<Void> addLearner(VoterId voterId, NodeId nodeId) {
        return submitMembershipChange(future -> driver.addLearner(voterId, nodeId, future));
    }

    @Override
    public CompletableFuture<Void> promote(VoterId voterId) {
        return submitMembershipChange(future -> driver.promote(voterId, future));
    }

    @Override
    public CompletableFuture<Void> remove(VoterId voterId) {
        return submitMembershipChange(future -> driver.remove(voterId, future));
    }

    private CompletableFuture<Void> submitMembershipChange(
            Consumer<CompletableFuture<byte[]>> action) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        submit(future, action);
        return future.thenAccept(answer -> {});
    }

    @Override
    public void close() {
        isClosing = true;
        inputs.add(() -> {});
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
