package org.cardamomthread.execution.job;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.generated.JobCommandMessage;
import org.cardamomthread.execution.stream.Delivered;

/**
 * Changes the accepted work through the replicated log. Times are wall-clock milliseconds of the
 * proposer.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
public sealed interface JobCommand {

    /** The longest request of a job, in bytes. */
    int MAX_REQUEST_BYTES = 1024 * 1024;

    /**
     * Accepts work; the caller is told so once this is committed.
     *
     * @param id the job, unique for ever
     * @param account who gives it
     * @param service the service it is for
     * @param request the request, at most {@link #MAX_REQUEST_BYTES}
     * @param deadlineMs when its result is wanted
     * @param atMs when it was given
     */
    record Accept(
            JobId id,
            ClientAccountId account,
            ServiceId service,
            ByteString request,
            long deadlineMs,
            long atMs)
            implements JobCommand {

        /** Checks the size of the request. */
        public Accept {
            if (request.size() > MAX_REQUEST_BYTES) {
                throw new IllegalArgumentException(
                        "request of "
                                + request.size()
                                + " bytes must have at most "
                                + MAX_REQUEST_BYTES);
            }
        }
    }

    /**
     * Gives a queued job to a node.
     *
     * @param id the job
     * @param node the node
     * @param attempt one more than the job's attempts so far
     * @param leaseMs how long the node may stay silent
     * @param atMs when
     */
    record Assign(JobId id, NodeId node, int attempt, long leaseMs, long atMs)
            implements JobCommand {}

    /**
     * Extends the lease of an attempt.
     *
     * @param id the job
     * @param attempt the attempt
     * @param leaseMs how long the node may stay silent from now on
     * @param atMs when
     */
    record Renew(JobId id, int attempt, long leaseMs, long atMs) implements JobCommand {}

    /**
     * Puts a job back into the queue, for example because its endpoint is reclaimed.
     *
     * @param id the job
     * @param attempt the attempt that ends
     * @param delivered what the attempt produced, to be resumed from
     * @param atMs when
     */
    record Requeue(JobId id, int attempt, Delivered delivered, long atMs) implements JobCommand {}

    /**
     * Records the whole result.
     *
     * @param id the job
     * @param attempt the attempt that got it
     * @param status HTTP status
     * @param result body
     * @param atMs when
     */
    record Complete(JobId id, int attempt, int status, ByteString result, long atMs)
            implements JobCommand {}

    /**
     * Gives a job up.
     *
     * @param id the job
     * @param attempt the attempt that failed
     * @param reason what went wrong and the remedy
     * @param atMs when
     */
    record Fail(JobId id, int attempt, String reason, long atMs) implements JobCommand {}

    /**
     * Advances the time by which leases end; to be proposed by the leader about once a second while
     * jobs are assigned.
     *
     * @param atMs the time of the proposer
     */
    record Expire(long atMs) implements JobCommand {}

    /**
     * Serialises the command.
     *
     * @return the bytes to propose
     */
    default byte[] toBytes() {
        return JobCommandCodec.toMessage(this).toByteArray();
    }

    /**
     * Reads a command.
     *
     * @param bytes what {@link #toBytes()} returned
     * @return the command
     */
    static JobCommand parse(byte[] bytes) {
        try {
            return JobCommandCodec.fromMessage(JobCommandMessage.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the log entry must hold a job command", e);
        }
    }
}
