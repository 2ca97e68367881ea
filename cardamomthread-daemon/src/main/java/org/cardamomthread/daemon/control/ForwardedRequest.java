package org.cardamomthread.daemon.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.control.generated.GroupRequest;
import org.cardamomthread.daemon.control.generated.GroupResponse;
import org.cardamomthread.daemon.control.generated.NotAppended;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.OutcomeUnknownException;
import org.cardamomthread.replication.ReplicaUnavailableException;

/**
 * Retries one request on successive voters until one responds or the timeout elapses.
 *
 * <p>Invariant: at most one attempt is outstanding, so no two steps run concurrently. After an
 * attempt with an unknown outcome the same command is sent again, and the state machine detects the
 * duplicate. Once a command had such an attempt, the request never fails with {@link
 * ReplicaUnavailableException}, which would promise that the command was not appended.
 */
final class ForwardedRequest {

    private static final long INITIAL_BACKOFF_MS = 10;
    private static final long MAX_BACKOFF_MS = 250;

    private final GroupId groupId;
    private final GroupRequest request;
    private final LeaderHint leaderHint;
    private final List<NodeId> voters;
    private final RequestSender sender;
    private final TimeSource timeSource;
    private final long deadlineMs;
    private final CompletableFuture<byte[]> future = new CompletableFuture<>();
    private long backoffMs = INITIAL_BACKOFF_MS;
    private boolean isOutcomeUnknown;
    private String lastFailureReason = "no voter was contacted";

    /** Sends a request to one voter. */
    @FunctionalInterface
    interface RequestSender {
        /** Returns the encoded response; the future fails if the voter gave none. */
        CompletableFuture<byte[]> send(NodeId to, GroupRequest request, Duration timeout);
    }

    ForwardedRequest(
            GroupId groupId,
            GroupRequest request,
            List<NodeId> voters,
            LeaderHint leaderHint,
            RequestSender sender,
            TimeSource timeSource,
            Duration timeout) {
        this.groupId = groupId;
        this.request = request;
        this.voters = voters;
        this.leaderHint = leaderHint;
        this.sender = sender;
        this.timeSource = timeSource;
        this.deadlineMs = timeSource.monotonicMs() + timeout.toMillis();
    }

    CompletableFuture<byte[]> run() {
        sendNextAttempt();
        return future;
    }

    private void sendNextAttempt() {
        long remainingMs = deadlineMs - timeSource.monotonicMs();
        if (remainingMs <= 0) {
            failAtDeadline();
            return;
        }
        NodeId target = leaderHint.chooseTarget(voters);
        long attemptMs = Math.min(remainingMs, ControlGroups.ATTEMPT_TIMEOUT_MS);
        sender.send(target, request, Duration.ofMillis(attemptMs))
                .whenComplete(
                        (response, failure) -> handleResponse(target, parse(response, failure)));
    }

    private static GroupResponse parse(byte[] response, Throwable failure) {
        if (failure != null) {
            return GroupResponses.failure(failure);
        }
        try {
            return GroupResponse.parseFrom(response);
        } catch (InvalidProtocolBufferException e) {
            return GroupResponses.unknown(
                    "the response cannot be parsed; run the same release on all nodes");
        }
    }

    private void handleResponse(NodeId target, GroupResponse response) {
        switch (response.getOutcomeCase()) {
            case ANSWER -> {
                leaderHint.setLeader(target);
                future.complete(response.getAnswer().toByteArray());
            }
            case NOT_APPENDED -> handleNotAppended(target, response.getNotAppended());
            default -> {
                isOutcomeUnknown = isOutcomeUnknown || request.hasCommand();
                lastFailureReason = response.getOutcomeUnknown().getReason();
                leaderHint.markFailed(target);
                scheduleRetry();
            }
        }
    }

    private void handleNotAppended(NodeId target, NotAppended outcome) {
        lastFailureReason = outcome.getReason();
        String leader = outcome.getLeader();
        if (Identifiers.isValid(leader) && !leader.equals(target.value())) {
            leaderHint.setLeader(new NodeId(leader));
        } else {
            leaderHint.markFailed(target);
        }
        scheduleRetry();
    }

    private void scheduleRetry() {
        long remainingMs = deadlineMs - timeSource.monotonicMs();
        long delayMs = Math.max(0, Math.min(backoffMs, remainingMs));
        backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
        Executor delayedExecutor =
                CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS);
        delayedExecutor.execute(this::sendNextAttempt);
    }

    private void failAtDeadline() {
        future.completeExceptionally(
                isOutcomeUnknown
                        ? new OutcomeUnknownException(groupId, lastFailureReason)
                        : new ReplicaUnavailableException(groupId, lastFailureReason));
    }
}
