package org.cardamomthread.daemon.testing;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.dialect.AttemptHead;
import org.cardamomthread.daemon.dialect.ControlRequest;
import org.cardamomthread.daemon.dialect.ControllerLeaseHolder;
import org.cardamomthread.daemon.dialect.EndpointResponseHead;
import org.cardamomthread.daemon.dialect.LoadReport;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.PlatformCall;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.dialect.ScalingRequest;
import org.cardamomthread.daemon.dialect.UsageReport;
import org.cardamomthread.daemon.dialect.VersionMoveStatus;
import org.cardamomthread.daemon.http.EndToEndHeaders;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.http.ServerResponse;

/** A minimal dialect that supports just what forwarding requests needs. */
public final class TestPlatformDialect implements PlatformDialect {

    /** The header that marks a signed response. */
    public static final String SIGNATURE = "x-test-signature";

    /** The header of a response that states that the request was not run. */
    public static final String NOT_RUN = "x-test-not-run";

    /** The header of a response of an endpoint that leaves. */
    public static final String LEAVING = "x-test-leaving";

    /** The header with an endpoint's running and waiting requests and its slots. */
    public static final String LOAD = "x-test-load";

    /** The request header with the ids of the prompt's parts, separated by commas. */
    public static final String PROMPT_PARTS = "x-test-prompt-parts";

    private static final double MS_PER_S = 1_000.0;
    private static final Pattern DOCUMENT =
            Pattern.compile("\\{\"version\":(\\d{1,18})\\b.*\\}", Pattern.DOTALL);

    @Override
    public RequestHead decodeRequestHead(ServerRequest call) {
        return new RequestHead(
                new RequestId(call.getHeader("x-request-id").orElse("none")),
                OptionalLong.empty(),
                OptionalLong.empty(),
                0,
                call.getHeader(PROMPT_PARTS).stream()
                        .flatMap(value -> Stream.of(value.split(",")))
                        .map(id -> new PromptPart(id, 1))
                        .toList());
    }

    @Override
    public HttpHeaders encodeRequestHeaders(HttpHeaders received, AttemptHead attempt) {
        return EndToEndHeaders.copy(received);
    }

    @Override
    public String correlationHeader() {
        return "x-request-id";
    }

    @Override
    public EndpointResponseHead decodeResponseHead(int status, HttpHeaders headers) {
        return new EndpointResponseHead(
                headers.contains(SIGNATURE),
                headers.contains(NOT_RUN),
                Optional.ofNullable(headers.get(LOAD)).map(TestPlatformDialect::decodeLoad),
                OptionalLong.empty(),
                headers.contains(LEAVING));
    }

    private static LoadReport decodeLoad(String value) {
        String[] counts = value.split(",");
        return new LoadReport(
                Integer.parseInt(counts[0]),
                Integer.parseInt(counts[1]),
                Integer.parseInt(counts[2]),
                LoadReport.WORK_TIME_NOT_REPORTED);
    }

    @Override
    public boolean guaranteesNotRun(int status) {
        return status == 429 || status == 503;
    }

    @Override
    public HttpHeaders encodeResponseHeaders(HttpHeaders received) {
        return EndToEndHeaders.copy(received);
    }

    @Override
    public String encodeRetryAfter(long delayMs) {
        return Double.toString(delayMs / MS_PER_S);
    }

    @Override
    public Optional<ControlRequest> decodeControlRequest(ServerRequest call) {
        return Optional.empty();
    }

    /** Decodes the version of a document, and nothing else of it. */
    @Override
    public TrafficDocument decodeTrafficDocument(byte[] body) throws MalformedMessageException {
        Matcher document = DOCUMENT.matcher(new String(body, StandardCharsets.UTF_8));
        if (!document.matches()) {
            throw new MalformedMessageException("a document must begin with its version");
        }
        return new TrafficDocument(
                Long.parseLong(document.group(1)), List.of(), List.of(), List.of());
    }

    @Override
    public ServerResponse encodeVersionMoveStatus(VersionMoveStatus move) {
        return ServerResponse.createText(200, move.state().name());
    }

    @Override
    public PlatformCall encodeUsageReport(UsageReport usage, ControllerLeaseHolder holder) {
        throw new UnsupportedOperationException("these tests perform no duties");
    }

    @Override
    public PlatformCall encodeScalingRequest(ScalingRequest request, ControllerLeaseHolder holder) {
        throw new UnsupportedOperationException("these tests perform no duties");
    }

    @Override
    public String readinessPath() {
        return "/ready";
    }
}
