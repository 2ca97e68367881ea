package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;
import org.cardamomthread.daemon.http.Problem;
import org.cardamomthread.daemon.http.ResponseStream;

/**
 * Passes a repeatable call through and answers once the endpoint's answer is whole.
 *
 * <p>An answer longer than {@value #MAX_HELD_BYTES} bytes is streamed from there on, after which no
 * further attempt is made.
 */
final class WholeAnswerCall extends AbstractRepeatableCall {

    private static final int MAX_HELD_BYTES = 1024 * 1024;

    private final CallDemand demand;
    private final String target;

    /**
     * Creates a call.
     *
     * @param scope the caller's request
     * @param services what the call works with
     * @param demand what an endpoint has to do for it
     * @param target the path and query for the endpoint
     */
    WholeAnswerCall(CallScope scope, CallServices services, CallDemand demand, String target) {
        super(scope, services);
        this.demand = demand;
        this.target = target;
    }

    @Override
    protected PlacementRequest createPlacementRequest(Set<EndpointId> excluded) {
        return new PlacementRequest(
                getScope().getRequestId(),
                getScope().getAccount(),
                getScope().getTarget(),
                demand.prefix(),
                demand.promptTokens(),
                demand.outputTokens(),
                excluded,
                false,
                isRetry());
    }

    @Override
    protected EndpointResponseListener createListener(PlacedCall chosen) {
        return new WholeAnswerListener();
    }

    @Override
    protected String getTarget() {
        return target;
    }

    @Override
    protected byte[] createBody() {
        return getScope().getExchange().getCall().body();
    }

    @Override
    protected void doGiveUp(Problem problem) {
        getScope().refuse(problem);
    }

    /** Holds the answer until it is whole or too long to hold. */
    private final class WholeAnswerListener implements EndpointResponseListener {

        private final AttemptTiming timing = new AttemptTiming(getServices().timeSource());
        private final ByteArrayOutputStream held = new ByteArrayOutputStream();
        private AnswerHead head;
        private ResponseStream stream;

        @Override
        public void onHead(int status, HttpHeaders headers) {
            head = new AnswerHead(status, headers);
            timing.recordToken();
        }

        @Override
        public void onPart(byte[] part) {
            if (stream != null) {
                stream.write(part);
                return;
            }
            held.writeBytes(part);
            if (held.size() > MAX_HELD_BYTES && !head.isRetryable()) {
                stream =
                        getScope()
                                .startStream(
                                        head.status(),
                                        AttemptRunner.createCallerHeaders(head.headers()));
                stream.write(held.toByteArray());
            }
        }

        @Override
        public void onComplete() {
            if (stream != null) {
                succeed(timing.createReport());
                stream.finish();
                getScope().end(CallOutcome.ANSWERED, "streamed");
                return;
            }
            if (head.isRetryable()) {
                onFailure(
                        new EndpointFailureException(
                                head.getFailureKind(),
                                getScope().getTarget().service().value(),
                                "the endpoint answered with status " + head.status(),
                                null));
                return;
            }
            succeed(timing.createReport());
            getScope().answer(head.createReply(held.toByteArray()));
        }

        @Override
        public void onFailure(EndpointFailureException failure) {
            AttemptReport report = timing.createReport(failure.getKind());
            if (stream != null) {
                succeed(report);
                stream.abort();
                getScope().end(CallOutcome.FAILED, failure.getMessage());
                return;
            }
            retryAfter(failure, report);
        }
    }
}
