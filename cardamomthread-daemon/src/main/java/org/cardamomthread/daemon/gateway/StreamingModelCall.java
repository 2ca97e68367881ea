package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.ResponseStream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Relays a model's response token by token. After a failure the response is resumed on another
 * endpoint after the last delivered token.
 *
 * <p>Invariant: the caller's stream is completed only after the endpoint's end marker; otherwise it
 * ends with an error event and a truncated body.
 */
final class StreamingModelCall extends AbstractRetryableCall {

    private static final Logger LOGGER = LoggerFactory.getLogger(StreamingModelCall.class);

    /** Number of bytes that a caller may leave unread before its stream is aborted. */
    private static final long MAX_UNREAD_BYTES = 1024 * 1024;

    private final ModelRequest request;
    private final StreamProgress progress = new StreamProgress();
    private ResponseStream stream;

    StreamingModelCall(CallContext context, CallDependencies dependencies, ModelRequest request) {
        super(context, dependencies, request.createPromptPrefix());
        this.request = request;
    }

    @Override
    protected PlacementRequest createPlacementRequest(Set<EndpointId> excluded) {
        return new PlacementRequest(
                getContext().getRequestId(),
                getContext().getAccount(),
                getContext().getTarget(),
                getPrefix(),
                request.estimatePromptTokens() + progress.getTokenCount(),
                request.estimateOutputTokens(),
                excluded,
                progress.getTokenCount() > 0,
                isRetry());
    }

    @Override
    protected EndpointResponseListener createListener(EndpointReservation reservation) {
        if (progress.getTokenCount() > 0) {
            getContext()
                    .countRecomputedTokens(
                            request.estimatePromptTokens() + progress.getTokenCount());
        }
        return new StreamingResponseListener(this, progress, getDependencies().timeSource());
    }

    @Override
    protected String getRequestTarget() {
        return getContext().getExchange().getRequest().target();
    }

    @Override
    protected byte[] createBody() {
        return request.createBody(progress);
    }

    @Override
    protected void reportFailure(ProblemDetail problem) {
        if (stream == null) {
            getContext().respondWithProblem(problem);
            return;
        }
        byte[] problemJson = problem.toJson(getContext().getRequestId().value());
        String event = "event: error\ndata: " + new String(problemJson, StandardCharsets.UTF_8);
        stream.write((event + "\n\n").getBytes(StandardCharsets.UTF_8));
        stream.abort();
        getContext().end(CallOutcome.FAILED, problem.detail());
    }

    /** Starts the caller's stream with the headers of the first endpoint that responds. */
    void beginStream(HttpHeaders headers) {
        if (stream == null) {
            HttpHeaders callerHeaders = AttemptDispatcher.createResponseHeaders(headers);
            stream = getContext().startStream(200, callerHeaders);
        }
    }

    /** Sends one event to the caller; returns false if the caller reads too slowly. */
    boolean forward(String data) {
        getContext().recordFirstByte();
        recordAnswer();
        stream.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        return stream.getPendingBytes() <= MAX_UNREAD_BYTES;
    }

    /** Completes the caller's stream. */
    void complete(AttemptReport report) {
        finishWithoutRetry(report);
        getContext().countTokens(progress.getTokenCount());
        stream.finish();
        getContext().end(CallOutcome.ANSWERED, progress.getTokenCount() + " tokens");
    }

    /** Completes the caller's stream, which is whole, and ignores the rest of the attempt. */
    void completeAndCancelAttempt(MalformedResponseException failure, AttemptReport report) {
        LOGGER.atInfo()
                .addKeyValue("requestId", getContext().getRequestId())
                .log("attempt cancelled after its end marker: {}", failure.getMessage());
        cancelAttempt();
        complete(report);
    }

    TrafficClass getTraffic() {
        return getContext().getTarget().traffic();
    }

    /** Returns whether a part of the response may have been sent to the caller. */
    boolean hasBegunStream() {
        return stream != null;
    }

    /** Relays a complete response that is not an event stream, such as an error, to the caller. */
    void relayNonStreamResponse(ResponseHead head, byte[] body, AttemptReport report) {
        recordAnswerOf(head);
        finishWithoutRetry(report);
        getContext().respond(head.createResponse(body));
    }

    /** Resumes the response on another endpoint, or fails the call. */
    void fail(EndpointFailureException failure, AttemptReport report) {
        retryOrFail(failure, report);
    }
}
