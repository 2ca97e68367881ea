package org.cardamomthread.replication;

import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;

/**
 * Runs one replica of a replicated log and gives access to it.
 *
 * <p>Futures fail with subclasses of {@link ReplicationException}. They complete on the thread of
 * the group, so dependent stages must not block. Implementations are safe for several threads.
 *
 * <p>Invariants: a command whose future completed normally is in the log of a majority of voters,
 * synced, and never reverts; each replica applies a prefix of the same sequence.
 */
public interface ReplicationGroup extends AutoCloseable {

    /**
     * Opens the storage and begins to take part in the group.
     *
     * @throws StorageException if the storage is damaged, unreadable or belongs to another node;
     *     its message names the remedy
     */
    void start() throws StorageException;

    /**
     * Hands in a message of another member; returns at once.
     *
     * @param from the node that the transport authenticated as the sender
     * @param message the encoded message
     */
    void receive(NodeId from, byte[] message);

    /**
     * Appends a command and waits until it is committed and applied here.
     *
     * @param command the command; must not be modified afterwards
     * @return the answer of the state machine, or {@link NotLeaderException}, {@link
     *     GroupUnavailableException} (both: not appended) or {@link OutcomeUnknownException}
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Waits until the state here includes each command committed before the call.
     *
     * @return the applied index, or {@link NotLeaderException} on a replica without the lease
     */
    CompletableFuture<Long> readBarrier();

    /**
     * Shows the replica's state.
     *
     * @return the state as of now; a lease that has run out since the last event is not reported
     */
    ReplicationStatus status();

    /**
     * Adds a member that takes entries but does not vote. Only on the leader.
     *
     * @param voterId the identity of the new member's data folder
     * @param nodeId its node
     * @return completes once the change is committed
     */
    CompletableFuture<Void> addLearner(VoterId voterId, NodeId nodeId);

    /**
     * Makes a caught-up learner a voter. Only on the leader.
     *
     * @param voterId the learner
     * @return completes once the change is committed
     */
    CompletableFuture<Void> promote(VoterId voterId);

    /**
     * Removes a member. Only on the leader.
     *
     * @param voterId the member
     * @return completes once the change is committed
     */
    CompletableFuture<Void> remove(VoterId voterId);

    /** Stops the replica and closes its storage; open proposals end as unknown. */
    @Override
    void close();
}
