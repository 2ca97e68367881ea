package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.execution.claim.AnswerHeader;
import org.cardamomthread.execution.claim.CallAction;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimOutcome;
import org.cardamomthread.execution.claim.OnceOnlyCall;
import org.cardamomthread.execution.claim.StoredAnswer;

/**
 * Carries out the steps of one call that may run at most once: claim, one dispatch, record, reply.
 *
 * <p>Goes on when the caller disconnects, so that the answer is stored for a resend. Events come
 * from several threads and are ordered by this object's lock.
 */
final class OnceOnlyRunner implements PlacementListener, EndpointResponseListener {

    private final CallScope scope;
    private final CallServices services;
    private final ClaimClient claims;
    private final OnceOnlyCall steps;
    private final String endpointTarget;
    private final TimeSource timeSource;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private PlacedCall placed;
    private AttemptTiming timing;
    private AnswerHead head;
    private boolean sent;
    private Problem refusal;

    OnceOnlyRunner(
            CallScope scope,
            CallServices services,
            ClaimClient claims,
            OnceOnlyCall steps,
            String endpointTarget) {
        this.scope = scope;
        this.services = services;
        this.claims = claims;
        this.steps = steps;
        this.endpointTarget = endpointTarget;
        this.timeSource = services.timeSource();
    }

    synchronized void start() {
        perform(steps.start(timeSource.millis()));
    }

    @Override
    public synchronized void onPlaced(PlacedCall chosen) {
        placed = new SendWatchingCall(chosen);
        timing = new AttemptTiming(timeSource);
        byte[] request = scope.getExchange().getCall().body();
        services.runner().start(scope, placed, endpointTarget, request, this);
    }

    @Override
    public synchronized void onRefused(Problem problem) {
        refusal = problem;
        perform(steps.notSent(timeSource.millis()));
    }

    @Override
    public synchronized void onHead(int status, HttpHeaders headers) {
        head = new AnswerHead(status, headers);
        timing.recordToken();
    }

    @Override
    public synchronized void onPart(byte[] part) {
        body.writeBytes(part);
    }

    @Override
    public synchronized void onComplete() {
        release(timing.createReport());
        StoredAnswer answer =
                StoredAnswer.of(head.status(), readHeaders(head.headers()), body.toByteArray());
        perform(steps.answered(answer, timeSource.millis()));
    }

    @Override
    public synchronized void onFailure(EndpointFailureException failure) {
        release(timing.createReport(failure.getKind()));
        refusal = OnceOnlyProblems.createFailed(failure, sent);
        if (sent) {
            perform(steps.failedAfterSending(timeSource.millis()));
        } else {
            perform(steps.notSent(timeSource.millis()));
        }
    }

    private void perform(List<CallAction> actions) {
        for (CallAction action : actions) {
            if (action instanceof CallAction.Propose propose) {
                propose(propose.command());
            } else if (action instanceof CallAction.Dispatch) {
                services.placement().place(createPlacementRequest(), this);
            } else if (action instanceof CallAction.Reply reply) {
                reply(reply);
            }
        }
    }

    private void propose(ClaimCommand command) {
        claims.propose(command)
                .whenComplete((outcome, failure) -> takeOutcome(command, outcome, failure));
    }

    private synchronized void takeOutcome(
            ClaimCommand command, ClaimOutcome outcome, Throwable failure) {
        if (command instanceof ClaimCommand.Claim) {
            if (failure != null) {
                refusal = OnceOnlyProblems.createUnclaimed(scope.getTarget());
                perform(steps.claimUnanswered(timeSource.millis()));
            } else {
                perform(steps.claimAnswered(outcome));
            }
        } else if (command instanceof ClaimCommand.Release) {
            perform(steps.releaseEnded());
        } else if (command instanceof ClaimCommand.Complete) {
            perform(steps.recordEnded());
        }
    }

    private void reply(CallAction.Reply reply) {
        if (reply.answer().isPresent() && head != null) {
            scope.answer(head.createReply(body.toByteArray()));
        } else if (reply.answer().isPresent() && !reply.answer().get().bodyOmitted()) {
            scope.answer(OnceOnlyProblems.createStoredReply(reply.answer().get()));
        } else if (refusal != null) {
            scope.refuse(refusal);
        } else {
            scope.refuse(OnceOnlyProblems.createClaimed(reply));
        }
    }

    private PlacementRequest createPlacementRequest() {
        return new PlacementRequest(
                scope.getRequestId(),
                scope.getAccount(),
                scope.getTarget(),
                CallDemand.PLAIN.prefix(),
                CallDemand.PLAIN.promptTokens(),
                CallDemand.PLAIN.outputTokens(),
                Set.of(),
                false,
                false);
    }

    private void release(AttemptReport report) {
        scope.countAttempt(report.result());
        placed.release(report);
    }

    private static List<AnswerHeader> readHeaders(HttpHeaders headers) {
        List<AnswerHeader> kept = new ArrayList<>();
        AttemptRunner.createCallerHeaders(headers)
                .forEach(header -> kept.add(new AnswerHeader(header.getKey(), header.getValue())));
        return kept;
    }

    /** Notes the moment before the first byte is sent. */
    private final class SendWatchingCall extends ForwardingPlacedCall {

        SendWatchingCall(PlacedCall delegate) {
            super(delegate);
        }

        @Override
        public boolean mayStart() {
            synchronized (OnceOnlyRunner.this) {
                if (!super.mayStart()) {
                    return false;
                }
                steps.sending();
                sent = true;
                return true;
            }
        }
    }
}
