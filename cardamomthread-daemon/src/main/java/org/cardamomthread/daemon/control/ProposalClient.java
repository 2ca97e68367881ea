package org.cardamomthread.daemon.control;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.replication.GroupId;

/**
 * Reaches the replicated groups from any node, with or without a disk.
 *
 * <p>Implementations are safe for use by several threads. Futures fail with {@link
 * org.cardamomthread.replication.GroupUnavailableException} if the command is certain not to be in
 * the log, and with {@link org.cardamomthread.replication.OutcomeUnknownException} otherwise.
 */
public interface ProposalClient {

    /**
     * Proposes a command to a group's leader until it answers.
     *
     * <p>The command may be sent and applied more than once: the group's state machine must
     * recognise it, by an operation id or a claim's key, and give the first answer again.
     *
     * @param group the group
     * @param command the command; must not be modified afterwards
     * @param timeout the longest wait
     * @return completes with the state machine's answer
     */
    CompletableFuture<byte[]> propose(GroupId group, byte[] command, Duration timeout);

    /**
     * Reads from a group's leader, after all that was committed before the call.
     *
     * @param group the group
     * @param query what to read, in the form that the group's query handler takes
     * @param timeout the longest wait
     * @return completes with the query handler's answer
     */
    CompletableFuture<byte[]> query(GroupId group, byte[] query, Duration timeout);
}
