package org.cardamomthread.daemon.http;

import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/** Describes why a request is refused before a handler takes it. Immutable and thread-safe. */
final class RequestProblems {

    private static final int STATUS_OVERLOADED = 503;
    private static final long OVERLOADED_RETRY_AFTER_S = 1;

    private final HttpLimits limits;
    private final ClientLimits clientLimits;

    RequestProblems(HttpLimits limits, ClientLimits clientLimits) {
        this.limits = limits;
        this.clientLimits = clientLimits;
    }

    /** Returns whether the request line or the head was longer than the limit. */
    static boolean isTooLong(Throwable cause) {
        return cause instanceof TooLongHttpHeaderException
                || cause instanceof TooLongHttpLineException;
    }

    ProblemDetail createUndecoded(Throwable cause) {
        if (cause instanceof ClientLimitException limit) {
            return createLimitExceeded(limit.reason());
        }
        if (isTooLong(cause)) {
            return createHeadersTooLarge(
                    "the request line or header block is longer than "
                            + limits.maxHeaderBytes()
                            + " bytes: send shorter headers, or raise limits.maxHeaderBytes");
        }
        return createMalformed(
                "the request is not valid HTTP/1.1 ("
                        + cause.getMessage()
                        + "): correct the request");
    }

    private ProblemDetail createLimitExceeded(LimitReason reason) {
        return switch (reason) {
            case EMPTY_LINES ->
                    createMalformed(
                            "more than "
                                    + clientLimits.maxEmptyLines()
                                    + " empty lines precede the request: leave them out, or raise"
                                    + " limits.maxEmptyLines");
            case CHUNK_FRAMING ->
                    createMalformed(
                            "the sizes, extensions and trailers of the chunks are longer than "
                                    + clientLimits.maxChunkFramingBytes()
                                    + " bytes: send larger chunks, or raise"
                                    + " limits.maxChunkFramingBytes");
            default ->
                    createHeadersTooLarge(
                            "the request has more than "
                                    + clientLimits.maxHeaderLines()
                                    + " header or trailer lines: send fewer, or raise"
                                    + " limits.maxHeaderLines");
        };
    }

    private static ProblemDetail createHeadersTooLarge(String detail) {
        return ProblemDetail.createNotRun(
                431, "headers-too-large", "Request headers too large", detail);
    }

    private static ProblemDetail createMalformed(String detail) {
        return ProblemDetail.createNotRun(
                400, "malformed-request", "Malformed HTTP request", detail);
    }

    static ProblemDetail createVersion(HttpVersion version) {
        return ProblemDetail.createNotRun(
                505,
                "unsupported-http-version",
                "HTTP version not supported",
                version + " is not supported: use HTTP/1.1");
    }

    static ProblemDetail createOverloaded() {
        return ProblemDetail.createNotRun(
                        STATUS_OVERLOADED,
                        "out-of-memory-for-requests",
                        "Too much is held for clients",
                        "the node has no memory left for this request, which was not received"
                                + " completely: retry the request")
                .withRetryAfterS(OVERLOADED_RETRY_AFTER_S);
    }

    ProblemDetail createBodyTooLarge() {
        return ProblemDetail.createNotRun(
                413,
                "body-too-large",
                "Request body too large",
                "the body is longer than "
                        + limits.maxBodyBytes()
                        + " bytes: send a shorter one, or raise limits.maxBodyBytes");
    }

    ProblemDetail createHeadTimeout() {
        return createTimeout(
                "head-timeout",
                "Request head too slow",
                "the head of the request was not received within "
                        + clientLimits.headTimeoutMs()
                        + " ms: retry the request, or raise limits.headTimeoutMs");
    }

    ProblemDetail createBodyTimeout() {
        return createTimeout(
                "body-timeout",
                "Request body too slow",
                "the request was not received completely within "
                        + limits.bodyTimeoutMs()
                        + " ms: retry the request, or raise limits.bodyTimeoutMs");
    }

    ProblemDetail createBodyStalled() {
        return createTimeout(
                "body-stalled",
                "Request body stalled",
                "no part of the body was received for "
                        + clientLimits.bodyStallTimeoutMs()
                        + " ms: retry the request, or raise limits.bodyStallTimeoutMs");
    }

    private static ProblemDetail createTimeout(String type, String title, String detail) {
        return ProblemDetail.createNotRun(408, type, title, detail);
    }
}
