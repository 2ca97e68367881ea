package org.cardamomthread.execution.claim;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;
import org.cardamomthread.execution.generated.HeaderMessage;
import org.cardamomthread.execution.generated.StoredAnswerMessage;

/**
 * Response of an endpoint, stored to be returned again for the same idempotency key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param headers response headers to return again
 * @param body response body; empty if it was omitted
 * @param bodyOmitted whether the body exceeded {@link #MAX_BODY_BYTES} and was omitted
 */
public record StoredResponse(
        int status, List<ResponseHeader> headers, ByteString body, boolean bodyOmitted) {

    /** Maximum size of a body that is stored, in bytes. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    /** Validates the size of the body and copies the headers. */
    public StoredResponse {
        Objects.requireNonNull(body, "body must not be null");
        headers = List.copyOf(headers);
        if (body.size() > MAX_BODY_BYTES) {
            throw new IllegalArgumentException(
                    "the body of a stored response must have at most "
                            + MAX_BODY_BYTES
                            + " bytes; StoredResponse.of omits a longer body");
        }
    }

    /**
     * Creates a stored response and omits a body that exceeds {@link #MAX_BODY_BYTES}.
     *
     * @param status HTTP status
     * @param headers response headers to return again
     * @param body complete response body
     * @return the response to store
     */
    public static StoredResponse of(int status, List<ResponseHeader> headers, byte[] body) {
        boolean omitted = body.length > MAX_BODY_BYTES;
        ByteString storedBody = omitted ? ByteString.EMPTY : ByteString.copyFrom(body);
        return new StoredResponse(status, headers, storedBody, omitted);
    }

    StoredAnswerMessage toMessage() {
        StoredAnswerMessage.Builder message =
                StoredAnswerMessage.newBuilder()
                        .setStatus(status)
                        .setBody(body)
                        .setBodyOmitted(bodyOmitted);
        for (ResponseHeader header : headers) {
            message.addHeaders(
                    HeaderMessage.newBuilder().setName(header.name()).setValue(header.value()));
        }
        return message.build();
    }

    static StoredResponse of(StoredAnswerMessage message) {
        return new StoredResponse(
                message.getStatus(),
                message.getHeadersList().stream()
                        .map(header -> new ResponseHeader(header.getName(), header.getValue()))
                        .toList(),
                message.getBody(),
                message.getBodyOmitted());
    }
}
