package org.cardamomthread.daemon.dispatch;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.BooleanSupplier;
import org.cardamomthread.core.id.RequestId;

/**
 * Describes one attempt to run a call on an endpoint.
 *
 * @param address the endpoint's address as {@code host:port}
 * @param method the method
 * @param target the path and query
 * @param headers the headers to send, without those that frame the body
 * @param body the body, empty if there is none
 * @param requestId the identifier that the answer must carry
 * @param isRepeatable whether the call may run more than once; if not, a new connection is used, so
 *     that no idle connection that the endpoint has closed can take the call with it
 * @param firstByteTimeoutMs longest wait for the answer's head, in milliseconds
 * @param gapTimeoutMs longest wait between two parts of the answer, in milliseconds
 * @param mayStart asked right before the first byte is written; if false nothing is sent
 * @param answerForm which answers are accepted
 */
public record EndpointRequest(
        String address,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        RequestId requestId,
        boolean isRepeatable,
        long firstByteTimeoutMs,
        long gapTimeoutMs,
        BooleanSupplier mayStart,
        AnswerForm answerForm) {}
