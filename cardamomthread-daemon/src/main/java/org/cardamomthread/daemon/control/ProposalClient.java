package org.cardamomthread.daemon.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.replication.GroupId;

/**
 * Sends commands and queries to the replication groups from any node, whether it is a voter or not.
 *
 * <p>Implementations must be thread-safe. Futures fail with {@link
 * org.cardamomthread.replication.ReplicaUnavailableException} if the command is certainly not in
 * the log, and with {@link org.cardamomthread.replication.OutcomeUnknownException} otherwise.
 */
public interface ProposalClient {

    /**
     * Proposes a command to a group's leader, retrying until it responds or the timeout elapses.
     *
     * <p>The command may be sent and applied more than once: the group's state machine must detect
     * a duplicate, by an operation id or a claim's key, and return the first result again.
     *
     * @param group the group
     * @param command the encoded command; must not be modified afterwards
     * @param timeout the maximum time over all attempts
     * @return completes with the state machine's result
     */
    CompletableFuture<byte[]> propose(GroupId group, byte[] command, Duration timeout);

    /**
     * Queries a group's leader; the result reflects everything committed before the call.
     *
     * @param group the group
     * @param query the query, encoded as the group's query handler expects it
     * @param timeout the maximum time over all attempts
     * @return completes with the query handler's result
     */
    CompletableFuture<byte[]> query(GroupId group, byte[] query, Duration timeout);
}
