package org.cardamomthread.execution.job;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.generated.JobCommandMessage;
import org.cardamomthread.execution.stream.DeliveredOutput;

/**
 * Command that changes the replicated jobs. Times are wall-clock milliseconds of the proposer.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface JobCommand {

    /** Maximum size of a job's request, in bytes. */
    int MAX_REQUEST_BYTES = 1024 * 1024;

    /**
     * Accepts a job. The caller receives the confirmation once this command is committed.
     *
     * @param id identifier of the job; never reused
     * @param account client account that submits the job
     * @param service service that the request is addressed to
     * @param request serialized request, at most {@link #MAX_REQUEST_BYTES} bytes
     * @param deadlineMs time by which the result is wanted
     * @param atMs time of the submission
     */
    record Accept(
            JobId id,
            ClientAccountId account,
            ServiceId service,
            ByteString request,
            long deadlineMs,
            long atMs)
            implements JobCommand {

        /** Validates the size of the request. */
        public Accept {
            if (request.size() > MAX_REQUEST_BYTES) {
                throw new IllegalArgumentException(
                        "the job request has "
                                + request.size()
                                + " bytes; the maximum is "
                                + MAX_REQUEST_BYTES);
            }
        }
    }

    /**
     * Assigns a queued job to a node.
     *
     * @param id identifier of the job
     * @param node node that is to execute the job
     * @param attempt number of the job's earlier attempts plus one
     * @param leaseMs duration of the lease, within which the node must renew it
     * @param atMs time of the proposal
     */
    record Assign(JobId id, NodeId node, int attempt, long leaseMs, long atMs)
            implements JobCommand {}

    /**
     * Extends the lease of an attempt.
     *
     * @param id identifier of the job
     * @param attempt number of the attempt that holds the lease
     * @param leaseMs new duration of the lease, counted from {@code atMs}
     * @param atMs time of the proposal
     */
    record Renew(JobId id, int attempt, long leaseMs, long atMs) implements JobCommand {}

    /**
     * Returns a job to the queue, for example because its endpoint is being reclaimed.
     *
     * @param id identifier of the job
     * @param attempt number of the attempt that ends
     * @param delivered output of the attempt, from which the next one resumes
     * @param atMs time of the proposal
     */
    record Requeue(JobId id, int attempt, DeliveredOutput delivered, long atMs)
            implements JobCommand {}

    /**
     * Completes a job with its result.
     *
     * @param id identifier of the job
     * @param attempt number of the attempt that received the result
     * @param status HTTP status of the response
     * @param result complete body of the response
     * @param atMs time of the proposal
     */
    record Complete(JobId id, int attempt, int status, ByteString result, long atMs)
            implements JobCommand {}

    /**
     * Ends a job as failed.
     *
     * @param id identifier of the job
     * @param attempt number of the attempt that failed
     * @param reason cause of the failure and its remedy
     * @param atMs time of the proposal
     */
    record Fail(JobId id, int attempt, String reason, long atMs) implements JobCommand {}

    /**
     * Advances the log's time and thereby expires leases. The leader proposes this command about
     * once a second while jobs are assigned.
     *
     * @param atMs wall-clock time of the proposer
     */
    record Expire(long atMs) implements JobCommand {}

    /**
     * Serializes the command.
     *
     * @return the content of the log entry to propose
     */
    default byte[] toBytes() {
        return JobCommandCodec.toMessage(this).toByteArray();
    }

    /**
     * Deserializes a command.
     *
     * @param bytes the value that {@link #toBytes()} returned
     * @return the command in the log entry
     * @throws IllegalArgumentException if the bytes are not a valid command
     */
    static JobCommand parse(byte[] bytes) {
        try {
            return JobCommandCodec.fromMessage(JobCommandMessage.parseFrom(bytes));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the log entry is not a valid JobCommandMessage", e);
        }
    }
}
