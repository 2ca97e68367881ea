package org.cardamomthread.daemon.testing;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.dialect.AnswerHead;
import org.cardamomthread.daemon.dialect.AttemptHead;
import org.cardamomthread.daemon.dialect.ControlOrder;
import org.cardamomthread.daemon.dialect.DutyHolder;
import org.cardamomthread.daemon.dialect.MoveReport;
import org.cardamomthread.daemon.dialect.PlatformCall;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.dialect.ScalingOrder;
import org.cardamomthread.daemon.dialect.UsageReport;
import org.cardamomthread.daemon.http.EndToEndHeaders;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.HttpReply;

/** A minimal dialect that supports just what forwarding requests needs. */
public final class TestDialect implements PlatformDialect {

    /** The header that marks a signed answer. */
    public static final String SIGNATURE = "x-test-signature";

    /** The header of an answer that states that the request was not run. */
    public static final String NOT_RUN = "x-test-not-run";

    private static final double MS_PER_S = 1_000.0;

    @Override
    public RequestHead decodeRequest(HttpCall call) {
        return new RequestHead(
                new RequestId(call.getHeader("x-request-id").orElse("none")),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0,
                List.of());
    }

    @Override
    public HttpHeaders encodeRequest(HttpHeaders received, AttemptHead attempt) {
        return EndToEndHeaders.copy(received);
    }

    @Override
    public String correlationHeader() {
        return "x-request-id";
    }

    @Override
    public AnswerHead decodeAnswer(int status, HttpHeaders headers) {
        return new AnswerHead(
                headers.contains(SIGNATURE),
                headers.contains(NOT_RUN),
                Optional.empty(),
                OptionalLong.empty());
    }

    @Override
    public HttpHeaders encodeAnswer(HttpHeaders received) {
        return EndToEndHeaders.copy(received);
    }

    @Override
    public String encodeRetryAfter(long delayMs) {
        return Double.toString(delayMs / MS_PER_S);
    }

    @Override
    public Optional<ControlOrder> decodeOrder(HttpCall call) {
        return Optional.empty();
    }

    @Override
    public TrafficDocument decodeDocument(byte[] body) {
        throw new UnsupportedOperationException("these tests pass documents as values");
    }

    @Override
    public HttpReply encodeMove(MoveReport move) {
        return HttpReply.createText(200, move.state().name());
    }

    @Override
    public PlatformCall encodeUsage(UsageReport usage, DutyHolder holder) {
        throw new UnsupportedOperationException("these tests perform no duties");
    }

    @Override
    public PlatformCall encodeScaling(ScalingOrder order, DutyHolder holder) {
        throw new UnsupportedOperationException("these tests perform no duties");
    }

    @Override
    public String readinessPath() {
        return "/ready";
    }
}
