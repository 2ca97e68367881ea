package org.cardamomthread.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.cardamomthread.execution.ExecutionStatus;

/**
 * Describes a refusal or failure as a problem document (RFC 9457) with the execution status of the
 * call.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the HTTP status code
 * @param type the last part of the problem's type URI, which is stable so that clients can match it
 * @param title a short description of the kind of problem
 * @param detail the cause in this case and the remedy
 * @param execution whether the call was run
 * @param retryAfterS seconds after which a retry may succeed; empty if a retry is not useful
 */
public record ProblemDetail(
        int status,
        String type,
        String title,
        String detail,
        ExecutionStatus execution,
        OptionalLong retryAfterS) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int STATUS_BAD_GATEWAY = 502;
    private static final String TYPE_PREFIX = "urn:cardamomthread:problem:";

    /**
     * Creates a problem for a call that was not run.
     *
     * @param status the HTTP status code
     * @param type the last part of the problem's type URI
     * @param title a short description of the kind of problem
     * @param detail the cause in this case and the remedy
     * @return the problem
     */
    public static ProblemDetail createNotRun(int status, String type, String title, String detail) {
        return new ProblemDetail(
                status, type, title, detail, ExecutionStatus.NOT_RUN, OptionalLong.empty());
    }

    /**
     * Returns a copy with the time after which a retry may succeed.
     *
     * @param delayS the time in seconds
     * @return the copy
     */
    public ProblemDetail withRetryAfterS(long delayS) {
        return new ProblemDetail(status, type, title, detail, execution, OptionalLong.of(delayS));
    }

    /**
     * Returns a copy for a call that may have run.
     *
     * @return the copy, with a status that does not state that the call was not run
     */
    public ProblemDetail asMayHaveRun() {
        return new ProblemDetail(
                STATUS_BAD_GATEWAY, type, title, detail, ExecutionStatus.UNKNOWN, retryAfterS);
    }

    /**
     * Renders the problem as a JSON document.
     *
     * @param requestId the identifier of the failed request
     * @return the document in UTF-8
     */
    public byte[] toJson(String requestId) {
        return toNode(requestId).toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Creates the response that reports the problem.
     *
     * @param requestId the identifier of the failed request
     * @return the response
     */
    public ServerResponse toResponse(String requestId) {
        ServerResponse response =
                ServerResponse.create(status, "application/problem+json", toJson(requestId));
        response.setHeader("x-request-id", requestId);
        retryAfterS.ifPresent(delayS -> response.setHeader("retry-after", Long.toString(delayS)));
        return response;
    }

    private ObjectNode toNode(String requestId) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("type", TYPE_PREFIX + type);
        node.put("title", title);
        node.put("status", status);
        node.put("detail", detail);
        node.put("requestId", requestId);
        node.put("execution", execution.text());
        return node;
    }
}
