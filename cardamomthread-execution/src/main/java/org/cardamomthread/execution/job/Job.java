package org.cardamomthread.execution.job;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.generated.JobRecordMessage;
import org.cardamomthread.execution.stream.DeliveredOutput;

/**
 * Represents an accepted job. Times are milliseconds of the log's time, which follows the wall
 * clocks of the proposers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id unique identifier of the job
 * @param account client account that submitted the job
 * @param service service that the request is addressed to
 * @param request serialized request; empty once the job is finished
 * @param deadlineMs time by which the result is wanted; only orders the queue
 * @param acceptedAtMs time at which the job was accepted
 * @param state current state of the job
 * @param attempt number of assignments so far
 * @param node node that executes the job; empty unless assigned
 * @param leaseEndMs time at which the node's lease expires; 0 unless assigned
 * @param delivered output saved by earlier attempts, from which the next one resumes
 * @param status HTTP status of the result; 0 unless completed
 * @param result response body; empty unless completed
 * @param reason cause of the failure; empty unless failed
 * @param finishedAtMs time at which the job reached its final state; 0 before
 */
public record Job(
        JobId id,
        ClientAccountId account,
        ServiceId service,
        ByteString request,
        long deadlineMs,
        long acceptedAtMs,
        JobState state,
        int attempt,
        Optional<NodeId> node,
        long leaseEndMs,
        DeliveredOutput delivered,
        int status,
        ByteString result,
        String reason,
        long finishedAtMs) {

    static Job newlyAccepted(JobCommand.Accept accept) {
        return new Job(
                accept.id(),
                accept.account(),
                accept.service(),
                accept.request(),
                accept.deadlineMs(),
                accept.atMs(),
                JobState.QUEUED,
                0,
                Optional.empty(),
                0,
                DeliveredOutput.EMPTY,
                0,
                ByteString.EMPTY,
                "",
                0);
    }

    Job toAssigned(NodeId newNode, int newAttempt, long newLeaseEndMs) {
        return new Job(
                id,
                account,
                service,
                request,
                deadlineMs,
                acceptedAtMs,
                JobState.ASSIGNED,
                newAttempt,
                Optional.of(newNode),
                newLeaseEndMs,
                delivered,
                0,
                ByteString.EMPTY,
                "",
                0);
    }

    Job toQueued(DeliveredOutput newDelivered) {
        return new Job(
                id,
                account,
                service,
                request,
                deadlineMs,
                acceptedAtMs,
                JobState.QUEUED,
                attempt,
                Optional.empty(),
                0,
                newDelivered,
                0,
                ByteString.EMPTY,
                "",
                0);
    }

    Job toFinished(
            JobState finalState, int newStatus, ByteString newResult, String newReason, long atMs) {
        return new Job(
                id,
                account,
                service,
                ByteString.EMPTY,
                deadlineMs,
                acceptedAtMs,
                finalState,
                attempt,
                Optional.empty(),
                0,
                DeliveredOutput.EMPTY,
                newStatus,
                newResult,
                newReason,
                atMs);
    }

    JobRecordMessage toMessage() {
        return JobRecordMessage.newBuilder()
                .setJobId(id.value())
                .setAccount(account.value())
                .setService(service.value())
                .setRequest(request)
                .setDeadlineMs(deadlineMs)
                .setAcceptedAtMs(acceptedAtMs)
                .setState(state.name())
                .setAttempt(attempt)
                .setNode(node.map(NodeId::value).orElse(""))
                .setLeaseEndMs(leaseEndMs)
                .setDeliveredText(delivered.text())
                .setDeliveredTokens(delivered.tokens())
                .setStatus(status)
                .setResult(result)
                .setReason(reason)
                .setFinishedAtMs(finishedAtMs)
                .build();
    }

    static Job fromMessage(JobRecordMessage message) {
        String node = message.getNode();
        return new Job(
                new JobId(message.getJobId()),
                new ClientAccountId(message.getAccount()),
                new ServiceId(message.getService()),
                message.getRequest(),
                message.getDeadlineMs(),
                message.getAcceptedAtMs(),
                JobState.valueOf(message.getState()),
                message.getAttempt(),
                node.isEmpty() ? Optional.empty() : Optional.of(new NodeId(node)),
                message.getLeaseEndMs(),
                new DeliveredOutput(message.getDeliveredText(), message.getDeliveredTokens()),
                message.getStatus(),
                message.getResult(),
                message.getReason(),
                message.getFinishedAtMs());
    }
}
