package org.cardamomthread.execution.job;

import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.JobId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.execution.generated.AcceptJobMessage;
import org.cardamomthread.execution.generated.AssignJobMessage;
import org.cardamomthread.execution.generated.CompleteJobMessage;
import org.cardamomthread.execution.generated.ExpireJobsMessage;
import org.cardamomthread.execution.generated.FailJobMessage;
import org.cardamomthread.execution.generated.JobCommandMessage;
import org.cardamomthread.execution.generated.RenewJobMessage;
import org.cardamomthread.execution.generated.RequeueJobMessage;
import org.cardamomthread.execution.stream.DeliveredOutput;

/** Converts job commands to and from their protobuf messages. Stateless. */
final class JobCommandCodec {

    private JobCommandCodec() {}

    static JobCommandMessage toMessage(JobCommand command) {
        JobCommandMessage.Builder message = JobCommandMessage.newBuilder();
        if (command instanceof JobCommand.Accept accept) {
            message.setAccept(
                    AcceptJobMessage.newBuilder()
                            .setJobId(accept.id().value())
                            .setAccount(accept.account().value())
                            .setService(accept.service().value())
                            .setRequest(accept.request())
                            .setDeadlineMs(accept.deadlineMs())
                            .setAtMs(accept.atMs()));
        } else if (command instanceof JobCommand.Assign assign) {
            message.setAssign(
                    AssignJobMessage.newBuilder()
                            .setJobId(assign.id().value())
                            .setNode(assign.node().value())
                            .setAttempt(assign.attempt())
                            .setLeaseMs(assign.leaseMs())
                            .setAtMs(assign.atMs()));
        } else if (command instanceof JobCommand.Renew renew) {
            message.setRenew(
                    RenewJobMessage.newBuilder()
                            .setJobId(renew.id().value())
                            .setAttempt(renew.attempt())
                            .setLeaseMs(renew.leaseMs())
                            .setAtMs(renew.atMs()));
        } else if (command instanceof JobCommand.Requeue requeue) {
            message.setRequeue(
                    RequeueJobMessage.newBuilder()
                            .setJobId(requeue.id().value())
                            .setAttempt(requeue.attempt())
                            .setDeliveredText(requeue.delivered().text())
                            .setDeliveredTokens(requeue.delivered().tokens())
                            .setAtMs(requeue.atMs()));
        } else {
            setFinishOrExpire(message, command);
        }
        return message.build();
    }

    private static void setFinishOrExpire(JobCommandMessage.Builder message, JobCommand command) {
        if (command instanceof JobCommand.Complete complete) {
            message.setComplete(
                    CompleteJobMessage.newBuilder()
                            .setJobId(complete.id().value())
                            .setAttempt(complete.attempt())
                            .setStatus(complete.status())
                            .setResult(complete.result())
                            .setAtMs(complete.atMs()));
        } else if (command instanceof JobCommand.Fail fail) {
            message.setFail(
                    FailJobMessage.newBuilder()
                            .setJobId(fail.id().value())
                            .setAttempt(fail.attempt())
                            .setReason(fail.reason())
                            .setAtMs(fail.atMs()));
        } else if (command instanceof JobCommand.Expire expire) {
            message.setExpire(ExpireJobsMessage.newBuilder().setAtMs(expire.atMs()));
        }
    }

    static JobCommand fromMessage(JobCommandMessage message) {
        return switch (message.getContentCase()) {
            case ACCEPT -> accept(message.getAccept());
            case ASSIGN -> assign(message.getAssign());
            case RENEW -> renew(message.getRenew());
            case REQUEUE -> requeue(message.getRequeue());
            case COMPLETE -> complete(message.getComplete());
            case FAIL -> fail(message.getFail());
            case EXPIRE -> new JobCommand.Expire(message.getExpire().getAtMs());
            default ->
                    throw new IllegalArgumentException(
                            "the job command message has no content or an unknown one");
        };
    }

    private static JobCommand.Accept accept(AcceptJobMessage message) {
        return new JobCommand.Accept(
                new JobId(message.getJobId()),
                new ClientAccountId(message.getAccount()),
                new ServiceId(message.getService()),
                message.getRequest(),
                message.getDeadlineMs(),
                message.getAtMs());
    }

    private static JobCommand.Assign assign(AssignJobMessage message) {
        return new JobCommand.Assign(
                new JobId(message.getJobId()),
                new NodeId(message.getNode()),
                message.getAttempt(),
                message.getLeaseMs(),
                message.getAtMs());
    }

    private static JobCommand.Renew renew(RenewJobMessage message) {
        return new JobCommand.Renew(
                new JobId(message.getJobId()),
                message.getAttempt(),
                message.getLeaseMs(),
                message.getAtMs());
    }

    private static JobCommand.Requeue requeue(RequeueJobMessage message) {
        return new JobCommand.Requeue(
                new JobId(message.getJobId()),
                message.getAttempt(),
                new DeliveredOutput(message.getDeliveredText(), message.getDeliveredTokens()),
                message.getAtMs());
    }

    private static JobCommand.Complete complete(CompleteJobMessage message) {
        return new JobCommand.Complete(
                new JobId(message.getJobId()),
                message.getAttempt(),
                message.getStatus(),
                message.getResult(),
                message.getAtMs());
    }

    private static JobCommand.Fail fail(FailJobMessage message) {
        return new JobCommand.Fail(
                new JobId(message.getJobId()),
                message.getAttempt(),
                message.getReason(),
                message.getAtMs());
    }
}
