package org.cardamomthread.daemon.dispatch;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.cardamomthread.daemon.dispatch.EndpointFailureException.Kind;

/**
 * Determines whether the head of a response is the whole head of the response to one request.
 *
 * <p>Immutable and thread-safe.
 */
final class ResponseHeadValidator {

    private static final int STATUS_NO_CONTENT = 204;
    private static final int STATUS_NOT_MODIFIED = 304;
    private static final int MIN_ERROR_STATUS = 400;

    /** Every status line has this text; few other lines do. */
    private static final String PROTOCOL = "HTTP/1.";

    /** A status code is not followed by a dot, as the first part of an address in "via" is. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?:\\s|$)");

    private final EndpointRequest request;

    /**
     * Represents why a response is not accepted.
     *
     * @param kind the kind of failure
     * @param detail what is wrong with the head, and what remedies it
     */
    record Rejection(Kind kind, String detail) {}

    ResponseHeadValidator(EndpointRequest request) {
        this.request = request;
    }

    /** Returns why a response with this head is not accepted, or empty if it is. */
    Optional<Rejection> validate(int status, String reasonPhrase, HttpHeaders headers) {
        ResponseAcceptancePolicy policy = request.acceptancePolicy();
        List<String> receivedIds = headers.getAll(policy.correlationHeader());
        if (!areExpectedIds(receivedIds, status)) {
            String detail =
                    "the response has request id %s instead of \"%s\": have the endpoint return the"
                            + " %s of each request";
            return reject(
                    Kind.MISMATCHED_ANSWER,
                    String.format(
                            detail, receivedIds, request.requestId(), policy.correlationHeader()));
        }
        if (hasStatusLineInside(reasonPhrase, headers)) {
            return reject(
                    Kind.TRUNCATED_ANSWER,
                    "the head of the response broke off and goes on with another response: have"
                            + " the endpoint close the connection instead");
        }
        if (!hasFraming(status, headers)) {
            return reject(
                    Kind.TRUNCATED_ANSWER,
                    "the response has neither a content length nor chunked encoding, so that a"
                            + " truncation could not be detected: have the endpoint send one of"
                            + " the two");
        }
        if (!isTransferEncodingDecoded(headers)) {
            return reject(
                    Kind.TRUNCATED_ANSWER,
                    "the response has a transfer encoding other than chunked, whose end is not"
                            + " recognized: have the endpoint send chunked encoding or a length");
        }
        return Optional.empty();
    }

    private static Optional<Rejection> reject(Kind kind, String detail) {
        return Optional.of(new Rejection(kind, detail));
    }

    private boolean areExpectedIds(List<String> receivedIds, int status) {
        if (receivedIds.isEmpty()) {
            return request.acceptancePolicy().mayOmitIdInErrorResponse()
                    && status >= MIN_ERROR_STATUS;
        }
        return receivedIds.equals(List.of(request.requestId().value()));
    }

    /** The decoder takes whatever follows a head that broke off for the rest of its last line. */
    private static boolean hasStatusLineInside(String reasonPhrase, HttpHeaders headers) {
        if (hasStatusLine(reasonPhrase)) {
            return true;
        }
        for (Map.Entry<String, String> header : headers) {
            if (hasStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }

    private boolean hasFraming(int status, HttpHeaders headers) {
        boolean isBodyless =
                status == STATUS_NO_CONTENT
                        || status == STATUS_NOT_MODIFIED
                        || "HEAD".equals(request.method().name());
        return isBodyless
                || request.acceptancePolicy().mayEndByConnectionClose()
                || headers.contains(HttpHeaderNames.CONTENT_LENGTH)
                || headers.containsValue(
                        HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED, true);
    }

    private static boolean isTransferEncodingDecoded(HttpHeaders headers) {
        List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return encodings.isEmpty()
                || encodings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(
                                encodings.get(0).trim());
    }
}
