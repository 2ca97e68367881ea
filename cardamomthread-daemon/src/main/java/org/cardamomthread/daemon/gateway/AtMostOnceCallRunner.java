package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.execution.claim.AtMostOnceCall;
import org.cardamomthread.execution.claim.CallAction;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimOutcome;
import org.cardamomthread.execution.claim.ResponseHeader;
import org.cardamomthread.execution.claim.StoredResponse;

/**
 * Runs one at-most-once call: claims its idempotency key, sends it to one endpoint, records the
 * response, and responds to the caller.
 *
 * <p>Continues if the caller disconnects, so that the response is stored for a retry. Events may
 * arrive on any thread; this object's lock serializes them.
 */
final class AtMostOnceCallRunner implements PlacementListener, EndpointResponseListener {

    private final CallContext context;
    private final CallDependencies dependencies;
    private final ClaimClient claims;
    private final AtMostOnceCall stateMachine;
    private final String endpointTarget;
    private final TimeSource timeSource;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EndpointReservation reservation;
    private AttemptTiming timing;
    private ResponseHead head;
    private boolean mayHaveBeenSent;
    private ProblemDetail problem;

    AtMostOnceCallRunner(
            CallContext context,
            CallDependencies dependencies,
            ClaimClient claims,
            AtMostOnceCall stateMachine,
            String endpointTarget) {
        this.context = context;
        this.dependencies = dependencies;
        this.claims = claims;
        this.stateMachine = stateMachine;
        this.endpointTarget = endpointTarget;
        this.timeSource = dependencies.timeSource();
    }

    synchronized void start() {
        perform(stateMachine.start(timeSource.millis()));
    }

    @Override
    public synchronized void onPlaced(EndpointReservation newReservation) {
        reservation = new SendTrackingReservation(newReservation);
        timing = new AttemptTiming(timeSource);
        byte[] request = context.getExchange().getRequest().body();
        dependencies.dispatcher().start(context, reservation, endpointTarget, request, this);
    }

    @Override
    public synchronized void onRefused(ProblemDetail refusal) {
        problem = refusal;
        perform(stateMachine.onSendNotStarted(timeSource.millis()));
    }

    @Override
    public synchronized void onHead(int status, HttpHeaders headers) {
        head = new ResponseHead(status, headers);
        timing.recordToken();
    }

    @Override
    public synchronized void onBodyPart(byte[] part) {
        body.writeBytes(part);
    }

    @Override
    public synchronized void onComplete() {
        release(timing.createReport());
        StoredResponse storedResponse =
                StoredResponse.of(
                        head.status(), toStoredHeaders(head.headers()), body.toByteArray());
        perform(stateMachine.onResponse(storedResponse, timeSource.millis()));
    }

    @Override
    public synchronized void onFailure(EndpointFailureException failure) {
        release(timing.createReport(failure.getKind()));
        problem = AtMostOnceResponses.createAttemptFailedProblem(failure, mayHaveBeenSent);
        if (mayHaveBeenSent) {
            perform(stateMachine.onFailureAfterSend(timeSource.millis()));
        } else {
            perform(stateMachine.onSendNotStarted(timeSource.millis()));
        }
    }

    private void perform(List<CallAction> actions) {
        for (CallAction action : actions) {
            if (action instanceof CallAction.Propose propose) {
                propose(propose.command());
            } else if (action instanceof CallAction.Dispatch) {
                dependencies.placement().place(createPlacementRequest(), this);
            } else if (action instanceof CallAction.Reply reply) {
                respond(reply);
            }
        }
    }

    private void propose(ClaimCommand command) {
        claims.propose(command)
                .whenComplete((outcome, failure) -> handleOutcome(command, outcome, failure));
    }

    private synchronized void handleOutcome(
            ClaimCommand command, ClaimOutcome outcome, Throwable failure) {
        if (command instanceof ClaimCommand.Claim) {
            if (failure != null) {
                problem = AtMostOnceResponses.createClaimUnavailableProblem(context.getTarget());
                perform(stateMachine.onClaimTimeout(timeSource.millis()));
            } else {
                perform(stateMachine.onClaimOutcome(outcome));
            }
        } else if (command instanceof ClaimCommand.Release) {
            perform(stateMachine.onReleaseFinished());
        } else if (command instanceof ClaimCommand.Complete) {
            perform(stateMachine.onRecordFinished());
        }
    }

    private void respond(CallAction.Reply reply) {
        if (reply.answer().isPresent() && head != null) {
            context.respond(head.createResponse(body.toByteArray()));
        } else if (reply.answer().isPresent() && !reply.answer().get().bodyOmitted()) {
            context.respond(AtMostOnceResponses.createStoredResponse(reply.answer().get()));
        } else if (problem != null) {
            context.respondWithProblem(problem);
        } else {
            context.respondWithProblem(AtMostOnceResponses.createAlreadyClaimedProblem(reply));
        }
    }

    private PlacementRequest createPlacementRequest() {
        return new PlacementRequest(
                context.getRequestId(),
                context.getAccount(),
                context.getTarget(),
                WorkEstimate.PLAIN.prefix(),
                WorkEstimate.PLAIN.promptTokens(),
                WorkEstimate.PLAIN.outputTokens(),
                Set.of(),
                false,
                false);
    }

    private void release(AttemptReport report) {
        context.countAttempt(report.result());
        reservation.release(report);
    }

    private static List<ResponseHeader> toStoredHeaders(HttpHeaders headers) {
        List<ResponseHeader> storedHeaders = new ArrayList<>();
        AttemptDispatcher.createResponseHeaders(headers)
                .forEach(
                        header ->
                                storedHeaders.add(
                                        new ResponseHeader(header.getKey(), header.getValue())));
        return storedHeaders;
    }

    /** Records that the call may have been sent as soon as sending is permitted. */
    private final class SendTrackingReservation extends DelegatingEndpointReservation {

        SendTrackingReservation(EndpointReservation delegate) {
            super(delegate);
        }

        @Override
        public boolean maySend() {
            synchronized (AtMostOnceCallRunner.this) {
                if (!super.maySend()) {
                    return false;
                }
                stateMachine.onBeforeSend();
                mayHaveBeenSent = true;
                return true;
            }
        }
    }
}
