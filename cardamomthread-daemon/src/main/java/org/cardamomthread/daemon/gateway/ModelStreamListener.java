package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;

/**
 * Reads one attempt's stream of events and hands them to the call.
 *
 * <p>Invariant: after the first end, whether reported by the stream or found here, later events are
 * dropped. Used by one thread at a time.
 */
final class ModelStreamListener implements EndpointResponseListener {

    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private final ModelStreamCall call;
    private final StreamProgress progress;
    private final AttemptTiming timing;
    private final EventStreamParser parser = new EventStreamParser(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
    private AnswerHead head;
    private boolean ended;

    ModelStreamListener(ModelStreamCall call, StreamProgress progress, TimeSource timeSource) {
        this.call = call;
        this.progress = progress;
        this.timing = new AttemptTiming(timeSource);
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
        head = new AnswerHead(status, headers);
        if (head.isEventStream()) {
            call.beginStream(headers);
        }
    }

    @Override
    public void onPart(byte[] part) {
        if (ended) {
            return;
        }
        if (!head.isEventStream()) {
            refusal.writeBytes(part);
            return;
        }
        try {
            for (String data : parser.feed(part)) {
                progress.record(data);
                timing.recordToken();
                if (!call.forward(data)) {
                    fail(
                            Kind.CANCELLED,
                            "the caller reads too slowly: read the stream as it comes");
                    return;
                }
            }
        } catch (MalformedAnswerException failure) {
            fail(Kind.TRUNCATED_ANSWER, failure.getMessage());
        }
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        if (!head.isEventStream()) {
            endWithRefusal();
            return;
        }
        if (!progress.hasEnded()) {
            fail(Kind.TRUNCATED_ANSWER, "the stream ended without its end marker");
            return;
        }
        ended = true;
        call.complete(timing.createReport());
    }

    @Override
    public void onFailure(EndpointFailureException failure) {
        if (ended) {
            return;
        }
        ended = true;
        if (progress.hasEnded()) {
            call.complete(timing.createReport());
            return;
        }
        call.fail(failure, timing.createReport(failure.getKind()));
    }

    private void endWithRefusal() {
        if (head.isRetryable()) {
            fail(head.getFailureKind(), "the endpoint answered with status " + head.status());
            return;
        }
        ended = true;
        call.passOn(head, refusal.toByteArray(), timing.createReport());
    }

    private void fail(Kind kind, String detail) {
        ended = true;
        call.cancelAttemptAfter(
                new EndpointFailureException(kind, "stream", detail, null),
                timing.createReport(kind));
    }
}
