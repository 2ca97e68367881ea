package org.cardamomthread.replication.runtime;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.ReplicationTransport;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.storage.LogStorage;
import org.cardamomthread.replication.storage.StorageCorruptedException;
import org.cardamomthread.replication.storage.StorageIdentityException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a replica on a dedicated thread, which processes queued inputs in batches with one sync
 * each.
 *
 * <p>After a failure of the storage the replica is suspended: it sends no messages and rejects
 * commands, its status contains the reason, and the storage is opened again until that succeeds.
 * After an internal error, or if the stored data is corrupt, the replica stops permanently; an
 * internal error is also passed to the uncaught exception handler of the thread. Thread-safe.
 */
public final class DefaultReplicationGroup implements ReplicationGroup {

    private static final Logger LOG = LoggerFactory.getLogger(DefaultReplicationGroup.class);
    private static final int MAX_BATCH_INPUTS = 4096;
    private static final int MAX_QUEUED_INPUTS = 16_384;
    private static final int TICKS_PER_HEARTBEAT = 3;
    private static final int MAX_COMMAND_BYTES = 2 * 1024 * 1024;

    /** Commands of the maximum size from two callers, or hundreds of small ones. */
    private static final long MAX_PENDING_BYTES = 2L * MAX_COMMAND_BYTES;

    /** Twice what a leader sends before it waits for a response; lost messages are sent again. */
    private static final long MAX_QUEUED_MESSAGE_BYTES = 4 * 1024 * 1024;

    private static final long CLOSE_TIMEOUT_MS = 5000;
    private static final long MIN_REOPEN_DELAY_MS = 100;

    /** Opening reads the whole log again, so it is not tried more often. */
    private static final long MAX_REOPEN_DELAY_MS = 1000;

    private final GroupId groupId;
    private final ReplicationSettings settings;
    private final TimeSource timeSource;
    private final ReplicaDriver driver;
    private final BlockingQueue<Runnable> inputs = new LinkedBlockingQueue<>();
    private final AtomicInteger pendingProposalCount = new AtomicInteger();
    private final AtomicLong pendingProposalBytes = new AtomicLong();
    private final AtomicLong queuedMessageBytes = new AtomicLong();
    private final Thread thread;
    private volatile boolean isClosing;
    private volatile boolean isTerminated;
    private volatile PublishedStatus publishedStatus;

    /** Holds a status and the monotonic time at which it was published. */
    private record PublishedStatus(ReplicationStatus status, long publishedAtMs) {}

    /**
     * Creates the replica of a group; {@link #start()} must be called before it is used.
     *
     * @param groupId the group that the replica belongs to
     * @param nodeId the node that runs the replica
     * @param settings the settings of the group
     * @param storage the storage, not open yet; closed with the group
     * @param stateMachine the state machine to which committed commands are applied
     * @param transport sends messages to other nodes
     * @param timeSource the monotonic clock for timeouts and the lease
     * @param random source of the random part of election timeouts
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
                processInputsUntilStorageFails(batch);
            }
            terminate("the replica was closed; start the node again");
        } catch (StorageException e) {
            LOG.error("Group {}: replica stopped: {}", groupId, e.getMessage(), e);
            terminate(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            terminate("the replica's thread was interrupted; start the node again");
        } catch (RuntimeException | Error e) {
            LOG.error("Group {}: replica stopped after an internal error", groupId, e);
            terminate(
                    "internal error: "
                            + e
                            + "; report it together with the log, then restart the node");
            throw e;
        } finally {
            batch.forEach(Runnable::run);
        }
    }

    private void processInputsUntilStorageFails(List<Runnable> batch)
            throws InterruptedException, StorageException {
        try {
            while (!isClosing) {
                awaitInputs(batch);
                driver.tick();
                batch.forEach(Runnable::run);
                batch.clear();
                driver.flush();
                publishStatus();
            }
        } catch (StorageException e) {
            LOG.error(
                    "Group {}: replica suspended until its storage works again: {}",
                    groupId,
                    e.getMessage(),
                    e);
            suspend("since " + timeSource.instant() + ": " + e.getMessage());
            awaitStorage();
        }
    }

    private void awaitInputs(List<Runnable> batch) throws InterruptedException {
        long waitMs = Math.max(1, settings.heartbeatMs() / TICKS_PER_HEARTBEAT);
        Runnable first = inputs.poll(waitMs, TimeUnit.MILLISECONDS);
        if (first != null) {
            batch.add(first);
            inputs.drainTo(batch, MAX_BATCH_INPUTS);
        }
    }

    /** Rejects inputs and opens the storage again, with increasing delays, until that succeeds. */
    private void awaitStorage() throws InterruptedException, StorageException {
        long suspendedAtMs = timeSource.monotonicMs();
        long delayMs = MIN_REOPEN_DELAY_MS;
        rejectInputsFor(delayMs);
        while (!isClosing) {
            try {
                driver.open();
                publishStatus();
                LOG.info(
                        "Group {}: replica resumed, its storage failed for {} ms",
                        groupId,
                        timeSource.monotonicMs() - suspendedAtMs);
                return;
            } catch (StorageCorruptedException | StorageIdentityException e) {
                throw e;
            } catch (StorageException e) {
                LOG.debug("Group {}: the storage still fails: {}", groupId, e.getMessage());
                driver.close(e.getMessage());
                delayMs = Math.min(2 * delayMs, MAX_REOPEN_DELAY_MS);
                rejectInputsFor(delayMs);
            }
        }
    }

    private void rejectInputsFor(long durationMs) throws InterruptedException {
        long endMs = timeSource.monotonicMs() + durationMs;
        List<Runnable> batch = new ArrayList<>();
        while (!isClosing && timeSource.monotonicMs() < endMs) {
            awaitInputs(batch);
            batch.forEach(Runnable::run);
            batch.clear();
        }
    }

    private void publishStatus() {
        publishedStatus = new PublishedStatus(driver.status(), timeSource.monotonicMs());
    }

    private void terminate(String reason) {
        suspend(reason);
        isTerminated = true;
        rejectQueuedInputs();
    }

    private void suspend(String reason) {
        ReplicationStatus lastStatus = publishedStatus.status();
        publishedStatus =
                new PublishedStatus(
                        new ReplicationStatus(
                                lastStatus.groupId(),
                                lastStatus.nodeId(),
                                lastStatus.voterId(),
                                ReplicaRole.STOPPED,
                                lastStatus.term(),
                                Optional.empty(),
                                0,
                                lastStatus.commitIndex(),
                                lastStatus.appliedIndex(),
                                lastStatus.lastIndex(),
                                lastStatus.snapshotIndex(),
                                lastStatus.members(),
                                Optional.of(reason)),
                        timeSource.monotonicMs());
        driver.close(reason);
    }

    /**
     * Runs inputs that arrived after the end of the thread; each finds the replica stopped and
     * fails its future.
     */
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

    private ReplicaUnavailableException unavailableException() {
        PublishedStatus current = publishedStatus;
        String reason =
                current == null
                        ? "the replica is not started; call start() first"
                        : current.status().failure().orElse("the replica is closing");
        return new ReplicaUnavailableException(groupId, reason);
    }

    @Override
    public void receive(NodeId from, byte[] message) {
        if (inputs.size() >= MAX_QUEUED_INPUTS
                || queuedMessageBytes.get() > MAX_QUEUED_MESSAGE_BYTES
                || isStopped()) {
            return;
        }
        queuedMessageBytes.addAndGet(message.length);
        inputs.add(
                () -> {
                    queuedMessageBytes.addAndGet(-message.length);
                    if (!isStopped()) {
                        driver.receive(from, message);
                    }
                });
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        if (command.length > MAX_COMMAND_BYTES) {
            future.completeExceptionally(
                    new ReplicaUnavailableException(
                            groupId,
                            "the command has "
                                    + command.length
                                    + " bytes; the maximum number of bytes is "
                                    + MAX_COMMAND_BYTES));
            return future;
        }
        long bytes = pendingProposalBytes.addAndGet(command.length);
        int count = pendingProposalCount.incrementAndGet();
        CompletableFuture<byte[]> outcome =
                future.whenComplete((result, failure) -> releasePending(command.length));
        if (count > settings.maxPendingProposals() || bytes > MAX_PENDING_BYTES) {
            future.completeExceptionally(
                    new ReplicaUnavailableException(
                            groupId,
                            count
                                    + " commands of "
                                    + bytes
                                    + " bytes are pending; the maximum is "
                                    + settings.maxPendingProposals()
                                    + " commands of "
                                    + MAX_PENDING_BYTES
                                    + " bytes; retry later"));
            return outcome;
        }
        submit(future, result -> driver.propose(command, result));
        return outcome;
    }

    private void releasePending(int commandBytes) {
        pendingProposalCount.decrementAndGet();
        pendingProposalBytes.addAndGet(-commandBytes);
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
        if (isTerminated) {
            rejectQueuedInputs();
        }
    }

    @Override
    public ReplicationStatus status() {
        PublishedStatus current = publishedStatus;
        if (current == null) {
            throw new IllegalStateException(
                    "group \"" + groupId + "\" is not started; call start() first");
        }
        ReplicationStatus status = current.status();
        long elapsedMs = timeSource.monotonicMs() - current.publishedAtMs();
        return new ReplicationStatus(
                status.groupId(),
                status.nodeId(),
                status.voterId(),
                status.role(),
                status.term(),
                status.leader(),
                Math.max(0, status.leaseRemainingMs() - elapsedMs),
                status.commitIndex(),
                status.appliedIndex(),
                status.lastIndex(),
                status.snapshotIndex(),
                status.members(),
                status.failure());
    }

    @Override
    public void setContacts(List<NodeId> nodes) {
        List<NodeId> contacts = List.copyOf(nodes);
        inputs.add(() -> driver.setContacts(contacts));
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
        return future.thenAccept(result -> {});
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
