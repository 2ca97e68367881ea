package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ResponseStream;

/**
 * Relays a repeatable call and buffers the endpoint's response until it is complete, so that a
 * failed attempt can be retried.
 *
 * <p>A response longer than {@value #MAX_BUFFERED_BYTES} bytes is streamed to the caller from then
 * on and can no longer be retried.
 */
final class BufferedCall extends AbstractRetryableCall {

    private static final int MAX_BUFFERED_BYTES = 1024 * 1024;

    /** Number of bytes that a caller may leave unread before its response is aborted. */
    private static final long MAX_UNREAD_BYTES = 1024 * 1024;

    private final WorkEstimate workEstimate;
    private final String target;

    /**
     * Creates a call.
     *
     * @param context the caller's request
     * @param dependencies the components that the call uses
     * @param workEstimate the estimated work on the endpoint
     * @param target the path and query to send to the endpoint
     */
    BufferedCall(
            CallContext context,
            CallDependencies dependencies,
            WorkEstimate workEstimate,
            String target) {
        super(context, dependencies, workEstimate.prefix());
        this.workEstimate = workEstimate;
        this.target = target;
    }

    @Override
    protected PlacementRequest createPlacementRequest(Set<EndpointId> excluded) {
        return new PlacementRequest(
                getContext().getRequestId(),
                getContext().getAccount(),
                getContext().getTarget(),
                getPrefix(),
                workEstimate.promptTokens(),
                workEstimate.outputTokens(),
                excluded,
                false,
                isRetry());
    }

    @Override
    protected EndpointResponseListener createListener(EndpointReservation reservation) {
        return new BufferingListener();
    }

    @Override
    protected String getRequestTarget() {
        return target;
    }

    @Override
    protected byte[] createBody() {
        return getContext().getExchange().getRequest().body();
    }

    @Override
    protected void reportFailure(ProblemDetail problem) {
        getContext().respondWithProblem(problem);
    }

    /** Buffers the response until it is complete or exceeds the buffer. */
    private final class BufferingListener implements EndpointResponseListener {

        private final AttemptTiming timing = new AttemptTiming(getDependencies().timeSource());
        private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();
        private ResponseHead head;
        private ResponseStream stream;
        private boolean ended;

        @Override
        public void onHead(int status, HttpHeaders headers) {
            head = new ResponseHead(status, headers);
            timing.recordToken();
        }

        @Override
        public void onBodyPart(byte[] part) {
            if (ended) {
                return;
            }
            if (stream != null) {
                stream.write(part);
                if (stream.getPendingBytes() > MAX_UNREAD_BYTES) {
                    abortStream();
                }
                return;
            }
            buffer.writeBytes(part);
            if (buffer.size() <= MAX_BUFFERED_BYTES) {
                return;
            }
            if (head.isRetryable()) {
                ended = true;
                cancelAttemptAndRetry(
                        createFailure(
                                Kind.OVERSIZED_ANSWER,
                                "the error response is longer than "
                                        + MAX_BUFFERED_BYTES
                                        + " bytes"),
                        timing.createReport(Kind.OVERSIZED_ANSWER));
                return;
            }
            recordAnswerOf(head);
            stream =
                    getContext()
                            .startStream(
                                    head.status(),
                                    AttemptDispatcher.createResponseHeaders(head.headers()));
            stream.write(buffer.toByteArray());
            buffer.reset();
        }

        private void abortStream() {
            ended = true;
            AttemptReport report = timing.createReport(Kind.CANCELLED);
            finishWithoutRetry(report);
            cancelAttemptAndRetry(
                    createFailure(Kind.CANCELLED, "the caller reads too slowly"), report);
            stream.abort();
            getContext().end(CallOutcome.FAILED, "the caller reads too slowly");
        }

        private EndpointFailureException createFailure(Kind kind, String detail) {
            return new EndpointFailureException(
                    kind, getContext().getTarget().service().value(), detail, null);
        }

        @Override
        public void onComplete() {
            if (ended) {
                return;
            }
            if (stream != null) {
                finishWithoutRetry(timing.createReport());
                stream.finish();
                getContext().end(CallOutcome.ANSWERED, "streamed");
                return;
            }
            if (head.isRetryable()) {
                onFailure(
                        createFailure(
                                head.getFailureKind(),
                                "the endpoint responded with status " + head.status()));
                return;
            }
            recordAnswerOf(head);
            finishWithoutRetry(timing.createReport());
            getContext().respond(head.createResponse(buffer.toByteArray()));
        }

        @Override
        public void onFailure(EndpointFailureException failure) {
            if (ended) {
                return;
            }
            AttemptReport report = timing.createReport(failure.getKind());
            if (stream != null) {
                finishWithoutRetry(report);
                stream.abort();
                getContext().end(CallOutcome.FAILED, failure.getMessage());
                return;
            }
            retryOrFail(failure, report);
        }
    }
}
