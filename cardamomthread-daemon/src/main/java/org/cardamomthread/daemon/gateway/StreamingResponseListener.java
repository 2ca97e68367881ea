package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.OptionalLong;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dispatch.EndpointFailureException;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;
import org.cardamomthread.daemon.dispatch.EndpointResponseListener;

/**
 * Parses the event stream of one attempt and relays its events to the call.
 *
 * <p>Invariant: once the attempt has ended, whether reported by the client or detected here, later
 * events are ignored. Not thread-safe: used by one thread at a time.
 */
final class StreamingResponseListener implements EndpointResponseListener {

    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    /**
     * Number of timeouts for which bytes that complete no event, such as comments that keep the
     * connection open, extend the wait for the next event.
     */
    private static final int MAX_STALL_FACTOR = 4;

    private final StreamingModelCall call;
    private final StreamProgress progress;
    private final AttemptTiming timing;
    private final EventStreamParser parser = new EventStreamParser(MAX_EVENT_BYTES);
    private final ByteArrayOutputStream nonStreamBody = new ByteArrayOutputStream();
    private ResponseHead head;
    private boolean ended;

    StreamingResponseListener(
            StreamingModelCall call, StreamProgress progress, TimeSource timeSource) {
        this.call = call;
        this.progress = progress;
        this.timing = new AttemptTiming(timeSource);
    }

    @Override
    public void onHead(int status, HttpHeaders headers) {
        head = new ResponseHead(status, headers);
        if (head.isEventStream()) {
            call.beginStream(headers);
        }
    }

    @Override
    public void onBodyPart(byte[] part) {
        if (ended) {
            return;
        }
        if (!head.isEventStream()) {
            nonStreamBody.writeBytes(part);
            if (nonStreamBody.size() > MAX_EVENT_BYTES) {
                fail(
                        Kind.OVERSIZED_ANSWER,
                        "the response is longer than " + MAX_EVENT_BYTES + " bytes");
            }
            return;
        }
        try {
            List<String> events = parser.feed(part);
            if (events.isEmpty() && isStalled()) {
                fail(
                        Kind.GAP_TIMEOUT,
                        "bytes arrive, but no event has been completed in time: check whether the"
                                + " endpoint is stuck");
                return;
            }
            for (String data : events) {
                progress.record(data);
                timing.recordToken();
                if (!call.forward(data) && !progress.isComplete()) {
                    fail(
                            Kind.CANCELLED,
                            "the caller reads too slowly: it must read the stream continuously");
                    return;
                }
            }
        } catch (MalformedResponseException failure) {
            if (progress.isComplete()) {
                ended = true;
                call.completeAndCancelAttempt(failure, timing.createReport());
                return;
            }
            fail(Kind.TRUNCATED_ANSWER, failure.getMessage());
        }
    }

    @Override
    public void onComplete() {
        if (ended) {
            return;
        }
        if (!head.isEventStream()) {
            completeNonStreamResponse();
            return;
        }
        if (!progress.isComplete()) {
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
        if (progress.isComplete()) {
            call.complete(timing.createReport());
            return;
        }
        call.fail(failure, timing.createReport(failure.getKind()));
    }

    /** Returns whether bytes that complete no event have kept the stream alive for too long. */
    private boolean isStalled() {
        TrafficClass traffic = call.getTraffic();
        OptionalLong sinceLastTokenMs = timing.sinceLastTokenMs();
        return sinceLastTokenMs.isPresent()
                ? sinceLastTokenMs.getAsLong() > MAX_STALL_FACTOR * traffic.getGapTimeoutMs()
                : timing.sinceStartMs() > MAX_STALL_FACTOR * traffic.getFirstByteTimeoutMs();
    }

    private void completeNonStreamResponse() {
        if (head.isRetryable()) {
            fail(head.getFailureKind(), "the endpoint responded with status " + head.status());
            return;
        }
        if (call.hasBegunStream()) {
            fail(
                    Kind.BROKEN_SEQUENCE,
                    "the response to a resumed request is no event stream: status "
                            + head.status());
            return;
        }
        ended = true;
        call.relayNonStreamResponse(head, nonStreamBody.toByteArray(), timing.createReport());
    }

    private void fail(Kind kind, String detail) {
        ended = true;
        call.cancelAttemptAndRetry(
                new EndpointFailureException(kind, "stream", detail, null),
                timing.createReport(kind));
    }
}
