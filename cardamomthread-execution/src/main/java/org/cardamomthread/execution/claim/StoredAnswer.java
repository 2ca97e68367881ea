package org.cardamomthread.execution.claim;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Objects;
import org.cardamomthread.execution.generated.HeaderMessage;
import org.cardamomthread.execution.generated.StoredAnswerMessage;

/**
 * Holds the answer of an endpoint, to be given again for the same key.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param status the HTTP status
 * @param headers the headers to repeat
 * @param body the body, empty if it was omitted
 * @param bodyOmitted whether the body was longer than {@link #MAX_BODY_BYTES}
 */
public record StoredAnswer(
        int status, List<AnswerHeader> headers, ByteString body, boolean bodyOmitted) {

    /** The longest body that is stored, in bytes. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    /** Checks the body's length and copies the headers. */
    public StoredAnswer {
        Objects.requireNonNull(body, "body must not be null");
        headers = List.copyOf(headers);
        if (body.size() > MAX_BODY_BYTES) {
            throw new IllegalArgumentException(
                    "a stored body must have at most "
                            + MAX_BODY_BYTES
                            + " bytes; use StoredAnswer.of");
        }
    }

    /**
     * Creates an answer, without its body if that is too long to store.
     *
     * @param status the HTTP status
     * @param headers the headers to repeat
     * @param body the whole body
     * @return the answer
     */
    public static StoredAnswer of(int status, List<AnswerHeader> headers, byte[] body) {
        boolean omitted = body.length > MAX_BODY_BYTES;
        ByteString kept = omitted ? ByteString.EMPTY : ByteString.copyFrom(body);
        return new StoredAnswer(status, headers, kept, omitted);
    }

    StoredAnswerMessage toMessage() {
        StoredAnswerMessage.Builder message =
                StoredAnswerMessage.newBuilder()
                        .setStatus(status)
                        .setBody(body)
                        .setBodyOmitted(bodyOmitted);
        for (AnswerHeader header : headers) {
            message.addHeaders(
                    HeaderMessage.newBuilder().setName(header.name()).setValue(header.value()));
        }
        return message.build();
    }

    static StoredAnswer of(StoredAnswerMessage message) {
        return new StoredAnswer(
                message.getStatus(),
                message.getHeadersList().stream()
                        .map(header -> new AnswerHeader(header.getName(), header.getValue()))
                        .toList(),
                message.getBody(),
                message.getBodyOmitted());
    }
}
