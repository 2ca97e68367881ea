package org.cardamomthread.replication;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;

/**
 * Provides access to a replicated log through its replica on this node.
 *
 * <p>Futures fail with subclasses of {@link ReplicationException}. They are completed on the
 * group's thread, so dependent stages must not block. Implementations must be thread-safe.
 *
 * <p>Invariants: a command whose future completed normally is synced in the logs of a majority of
 * voters and is never lost; every replica applies a prefix of the same sequence of commands.
 */
public interface ReplicationGroup extends AutoCloseable {

    /**
     * Opens the storage and starts the replica. Until then, requests fail and messages are dropped.
     *
     * @throws StorageException if the storage is corrupt, unreadable or belongs to another node;
     *     its message names the remedy
     */
    void start() throws StorageException;

    /**
     * Enqueues a message from another node for processing and returns at once. A message may be
     * dropped if the queue is full or the replica has stopped.
     *
     * @param from the sending node, as authenticated by the transport
     * @param message the serialized protocol message
     */
    void receive(NodeId from, byte[] message);

    /**
     * Proposes a command. The future completes once the command is committed and applied by this
     * replica. Only the leader accepts proposals.
     *
     * @param command the command; must not be modified afterwards
     * @return a future of the state machine's result; it fails with {@link NotLeaderException} or
     *     {@link ReplicaUnavailableException} if the command was not appended, or with {@link
     *     OutcomeUnknownException}
     */
    CompletableFuture<byte[]> propose(byte[] command);

    /**
     * Waits until this replica has applied every command that was committed before the call. Only
     * the leader can serve this.
     *
     * @return a future of the applied index; it fails with {@link NotLeaderException} if this
     *     replica is not the leader, or with {@link ReplicaUnavailableException} if it has stopped
     */
    CompletableFuture<Long> readBarrier();

    /**
     * Sets the nodes that this replica asks for admission while it is not a member.
     *
     * @param nodes nodes that are presumed to be members, or to know the leader
     */
    void setContacts(List<NodeId> nodes);

    /**
     * Returns the current status of this replica.
     *
     * @return the status after the last processed input, with the remaining lease reduced to the
     *     current time
     */
    ReplicationStatus status();

    /**
     * Adds a learner, which replicates the log but does not vote. Only the leader accepts this.
     *
     * @param voterId the identity of the new member's data folder
     * @param nodeId the node that holds the folder
     * @return a future that completes once the change is committed
     */
    CompletableFuture<Void> addLearner(VoterId voterId, NodeId nodeId);

    /**
     * Promotes a caught-up learner to a voter. Only the leader accepts this.
     *
     * @param voterId the identity of the learner's data folder
     * @return a future that completes once the change is committed
     */
    CompletableFuture<Void> promote(VoterId voterId);

    /**
     * Removes a voter or learner. Only the leader accepts this.
     *
     * @param voterId the identity of the member's data folder
     * @return a future that completes once the change is committed
     */
    CompletableFuture<Void> remove(VoterId voterId);

    /**
     * Stops the replica and closes its storage; pending proposals fail with {@link
     * OutcomeUnknownException}.
     */
    @Override
    void close();
}
