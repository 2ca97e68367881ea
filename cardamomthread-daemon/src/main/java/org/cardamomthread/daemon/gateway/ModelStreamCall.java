package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.daemon.http.ResponseStream;
import org.cardamomthread.policy.routing.PromptPrefix;

/**
 * Relays a model's answer token by token and goes on from the last delivered token on another
 * endpoint after a failure.
 *
 * <p>Invariant: the caller's stream is ended whole only after the end marker; every other end is
 * visible as an error event and a truncated body.
 */
final class ModelStreamCall extends AbstractRepeatableCall {

    /** Bytes that a caller may leave unread before its stream is given up. */
    private static final long MAX_PENDING_BYTES = 1024 * 1024;

    private final ModelRequest request;
    private final PromptPrefix prefix;
    private final StreamProgress progress = new StreamProgress();
    private ResponseStream stream;

    ModelStreamCall(CallScope scope, CallServices services, ModelRequest request) {
        super(scope, services);
        this.request = request;
        this.prefix = request.createPrefix();
    }

    @Override
    protected PlacementRequest createPlacementRequest(Set<EndpointId> excluded) {
        return new PlacementRequest(
                getScope().getRequestId(),
                getScope().getAccount(),
                getScope().getTarget(),
                prefix,
                request.estimatePromptTokens() + progress.getTokens(),
                request.estimateOutputTokens(),
                excluded,
                progress.getTokens() > 0,
                isRetry());
    }

    @Override
    protected EndpointResponseListener createListener(PlacedCall chosen) {
        if (progress.getTokens() > 0) {
            getScope().countRecomputedTokens(request.estimatePromptTokens() + progress.getTokens());
        }
        return new ModelStreamListener(this, progress, getServices().timeSource());
    }

    @Override
    protected String getTarget() {
        return getScope().getExchange().getCall().getTarget();
    }

    @Override
    protected byte[] createBody() {
        return request.createBody(progress);
    }

    @Override
    protected void doGiveUp(Problem problem) {
        if (stream == null) {
            getScope().refuse(problem);
            return;
        }
        byte[] document = problem.toJson(getScope().getRequestId().value());
        String event = "event: error\ndata: " + new String(document, StandardCharsets.UTF_8);
        stream.write((event + "\n\n").getBytes(StandardCharsets.UTF_8));
        stream.abort();
        getScope().end(CallOutcome.FAILED, problem.detail());
    }

    /** Begins the caller's stream with the first endpoint's headers. */
    void beginStream(HttpHeaders headers) {
        if (stream == null) {
            HttpHeaders callerHeaders = AttemptRunner.createCallerHeaders(headers);
            stream = getScope().startStream(200, callerHeaders);
        }
    }

    /** Sends one event to the caller; returns false if the caller takes too little. */
    boolean forward(String data) {
        getScope().recordFirstByte();
        stream.write(("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8));
        return stream.getPendingBytes() <= MAX_PENDING_BYTES;
    }

    /** Ends the caller's stream whole. */
    void complete(AttemptReport report) {
        succeed(report);
        getScope().countTokens(progress.getTokens());
        stream.finish();
        getScope().end(CallOutcome.ANSWERED, progress.getTokens() + " tokens");
    }

    /** Sends an endpoint's whole refusal on to the caller. */
    void passOn(AnswerHead head, byte[] body, AttemptReport report) {
        succeed(report);
        getScope().answer(head.createReply(body));
    }

    /** Goes on elsewhere. */
    void fail(EndpointFailureException failure, AttemptReport report) {
        retryAfter(failure, report);
    }
}
