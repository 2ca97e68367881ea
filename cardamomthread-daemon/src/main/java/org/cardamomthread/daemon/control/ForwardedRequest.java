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
import org.cardamomthread.replication.GroupUnavailableException;
import org.cardamomthread.replication.OutcomeUnknownException;

/**
 * Follows one request from voter to voter until one answers or the time is up.
 *
 * <p>Invariant: at most one attempt is outstanding, so its steps never run at once. An attempt of
 * unknown outcome is followed by another with the same command, which the state machine recognises;
 * once there was one, the request never ends as certainly not appended.
 */
final class ForwardedRequest {

    private static final long FIRST_PAUSE_MS = 10;
    private static final long LONGEST_PAUSE_MS = 250;

    private final GroupId groupId;
    private final GroupRequest request;
    private final LeaderGuess guess;
    private final List<NodeId> voters;
    private final Attempt attempt;
    private final TimeSource timeSource;
    private final long deadlineMs;
    private final CompletableFuture<byte[]> future = new CompletableFuture<>();
    private long pauseMs = FIRST_PAUSE_MS;
    private boolean isOutcomeUnknown;
    private String lastReason = "no voter was asked";

    /** Sends a request to one node. */
    @FunctionalInterface
    interface Attempt {
        /** Returns a future that fails if the node gave no response. */
        CompletableFuture<byte[]> send(NodeId to, GroupRequest request, Duration timeout);
    }

    ForwardedRequest(
            GroupId groupId,
            GroupRequest request,
            List<NodeId> voters,
            LeaderGuess guess,
            Attempt attempt,
            TimeSource timeSource,
            Duration timeout) {
        this.groupId = groupId;
        this.request = request;
        this.voters = voters;
        this.guess = guess;
        this.attempt = attempt;
        this.timeSource = timeSource;
        this.deadlineMs = timeSource.monotonicMs() + timeout.toMillis();
    }

    CompletableFuture<byte[]> run() {
        tryNext();
        return future;
    }

    private void tryNext() {
        long remainingMs = deadlineMs - timeSource.monotonicMs();
        if (remainingMs <= 0) {
            fail();
            return;
        }
        NodeId target = guess.next(voters);
        long attemptMs = Math.min(remainingMs, ControlGroups.ATTEMPT_TIMEOUT_MS);
        attempt.send(target, request, Duration.ofMillis(attemptMs))
                .whenComplete((response, failure) -> take(target, parse(response, failure)));
    }

    private static GroupResponse parse(byte[] response, Throwable failure) {
        if (failure != null) {
            return GroupResponses.failure(failure);
        }
        try {
            return GroupResponse.parseFrom(response);
        } catch (InvalidProtocolBufferException e) {
            return GroupResponses.unknown("unreadable response; use one release on all nodes");
        }
    }

    private void take(NodeId target, GroupResponse response) {
        switch (response.getOutcomeCase()) {
            case ANSWER -> {
                guess.confirm(target);
                future.complete(response.getAnswer().toByteArray());
            }
            case NOT_APPENDED -> retryElsewhere(target, response.getNotAppended());
            default -> {
                isOutcomeUnknown = isOutcomeUnknown || request.hasCommand();
                lastReason = response.getOutcomeUnknown().getReason();
                guess.reject(target);
                pause();
            }
        }
    }

    private void retryElsewhere(NodeId target, NotAppended refusal) {
        lastReason = refusal.getReason();
        String leader = refusal.getLeader();
        if (Identifiers.isValid(leader) && !leader.equals(target.value())) {
            guess.confirm(new NodeId(leader));
        } else {
            guess.reject(target);
        }
        pause();
    }

    private void pause() {
        long remainingMs = deadlineMs - timeSource.monotonicMs();
        long delayMs = Math.max(0, Math.min(pauseMs, remainingMs));
        pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
        Executor later = CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS);
        later.execute(this::tryNext);
    }

    private void fail() {
        future.completeExceptionally(
                isOutcomeUnknown
                        ? new OutcomeUnknownException(groupId, lastReason)
                        : new GroupUnavailableException(groupId, lastReason));
    }
}
