package org.cardamomthread.execution.job;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.generated.JobRecordMessage;
import org.cardamomthread.execution.stream.Delivered;

/**
 * Shows one accepted piece of work. Times are milliseconds of the log's own time, which follows the
 * wall clocks of proposers.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the job
 * @param account who gave it
 * @param service the service it is for
 * @param request the request
 * @param deadlineMs when its result is wanted
 * @param acceptedAtMs when it was accepted
 * @param state how far it has come
 * @param attempt number of assignments so far
 * @param node the node that works on it, if assigned
 * @param leaseEndMs when that node's lease runs out, if assigned
 * @param delivered what earlier attempts saved, to be resumed from
 * @param status HTTP status of the result, zero before
 * @param result the result, empty before
 * @param reason why it failed, empty otherwise
 * @param finishedAtMs when it came to its final state, zero before
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
        Delivered delivered,
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
                Delivered.NOTHING,
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

    Job toQueued(Delivered newDelivered) {
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
            JobState finalState, int newStatus, ByteString newResult, String why, long atMs) {
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
                Delivered.NOTHING,
                newStatus,
                newResult,
                why,
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
                new Delivered(message.getDeliveredText(), message.getDeliveredTokens()),
                message.getStatus(),
                message.getResult(),
                message.getReason(),
                message.getFinishedAtMs());
    }
}
