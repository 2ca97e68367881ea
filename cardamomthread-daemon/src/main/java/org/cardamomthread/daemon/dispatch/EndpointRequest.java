package org.cardamomthread.daemon.dispatch;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.function.BooleanSupplier;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.http.RequestTargets;

/**
 * Represents the request of one attempt on an endpoint.
 *
 * @param address the endpoint's address as {@code host:port}
 * @param method the HTTP method
 * @param target the path and query, sent byte for byte; one that cannot be is not accepted
 * @param headers the headers to send, without those that define the length of the body
 * @param body the body; empty if there is none
 * @param requestId the identifier that the response must repeat
 * @param firstByteTimeoutMs maximum wait for the head of the response, in milliseconds
 * @param gapTimeoutMs maximum wait between two parts of the response, in milliseconds
 * @param maySend queried immediately before the first byte is sent; if false, nothing is sent
 * @param acceptancePolicy the rules by which responses are accepted
 */
public record EndpointRequest(
        String address,
        HttpMethod method,
        String target,
        HttpHeaders headers,
        byte[] body,
        RequestId requestId,
        long firstByteTimeoutMs,
        long gapTimeoutMs,
        BooleanSupplier maySend,
        ResponseAcceptancePolicy acceptancePolicy) {

    /** Validates the target. */
    public EndpointRequest {
        RequestTargets.findProblem(method, target)
                .ifPresent(
                        problem -> {
                            throw new IllegalArgumentException(
                                    "request " + requestId + ": " + problem.detail());
                        });
    }
}
