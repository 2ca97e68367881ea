package org.cardamomthread.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import org.cardamomthread.execution.ExecutionStatus;

/**
 * Describes a refusal or failure as a problem document.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status code
 * @param type the last part of the problem's type URI, stable for clients to match on
 * @param title what kind of problem it is
 * @param detail what is wrong in this case and the remedy
 * @param execution what became of the call
 * @param retryAfterS seconds after which a retry can help, or empty
 */
public record Problem(
        int status,
        String type,
        String title,
        String detail,
        ExecutionStatus execution,
        OptionalLong retryAfterS) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TYPE_PREFIX = "urn:cardamomthread:problem:";

    /**
     * Creates a problem of a call that was not run.
     *
     * @param status the HTTP status code
     * @param type the last part of the problem's type URI
     * @param title what kind of problem it is
     * @param detail what is wrong in this case and the remedy
     * @return the problem
     */
    public static Problem createNotRun(int status, String type, String title, String detail) {
        return new Problem(
                status, type, title, detail, ExecutionStatus.NOT_RUN, OptionalLong.empty());
    }

    /**
     * Returns the same problem with the time after which a retry can help.
     *
     * @param delayS seconds
     * @return the new problem
     */
    public Problem withRetryAfterS(long delayS) {
        return new Problem(status, type, title, detail, execution, OptionalLong.of(delayS));
    }

    /**
     * Renders the problem document.
     *
     * @param requestId the request it answers
     * @return the document in UTF-8
     */
    public byte[] toJson(String requestId) {
        return toNode(requestId).toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Renders the problem as a whole answer.
     *
     * @param requestId the request it answers
     * @return the answer
     */
    public HttpReply toReply(String requestId) {
        HttpReply reply = HttpReply.create(status, "application/problem+json", toJson(requestId));
        reply.with("x-request-id", requestId);
        retryAfterS.ifPresent(delayS -> reply.with("retry-after", Long.toString(delayS)));
        return reply;
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
