package org.cardamomthread.daemon.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;

/**
 * Builds the problem document (RFC 9457) of a request that failed.
 *
 * <p>Not thread-safe.
 */
final class OperatorProblem {

    private static final String TYPE_PREFIX = "urn:cardamomthread:problem:";
    private static final String CONTENT_TYPE = "application/problem+json";

    private final int status;
    private final ObjectNode document = JsonNodeFactory.instance.objectNode();

    OperatorProblem(int status, String type, String title, String detail, String remedy) {
        this.status = status;
        document.put("type", TYPE_PREFIX + type);
        document.put("title", title);
        document.put("status", status);
        document.put("detail", detail);
        document.put("remedy", remedy);
        document.put("execution", "not-run");
    }

    ObjectNode document() {
        return document;
    }

    OperatorResponse toResponse() {
        return toResponse(Map.of());
    }

    OperatorResponse toResponse(Map<String, String> headers) {
        return new OperatorResponse(status, CONTENT_TYPE, document.toString(), headers);
    }
}
