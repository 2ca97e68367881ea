package org.cardamomthread.daemon.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.daemon.http.ServerRequest;
import org.cardamomthread.daemon.http.ServerResponse;

/**
 * Converts between the messages of a platform and the types of this system.
 *
 * <p>Implementations contain no decisions and no state, and are thread-safe. They are found with
 * {@link java.util.ServiceLoader}.
 */
public interface PlatformDialect {

    /**
     * Decodes the head of a client request.
     *
     * @param request the received request
     * @return the metadata of the request
     * @throws MalformedMessageException if a mandatory header is missing or invalid
     */
    RequestHead decodeRequestHead(ServerRequest request) throws MalformedMessageException;

    /**
     * Encodes the headers of a request to an endpoint.
     *
     * @param received the headers of the client request, which are not modified
     * @param attempt the metadata that the gateway sets
     * @return new headers, without hop-by-hop headers and headers that only the system may set
     */
    HttpHeaders encodeRequestHeaders(HttpHeaders received, AttemptHead attempt);

    /**
     * Returns the name of the header in which an endpoint returns the id of the request.
     *
     * @return the header name
     */
    String correlationHeader();

    /**
     * Decodes the head of an endpoint's response.
     *
     * @param status the HTTP status code
     * @param headers the response headers
     * @return the metadata of the response
     */
    EndpointResponseHead decodeResponseHead(int status, HttpHeaders headers);

    /**
     * Returns whether clients take a status for the statement that the request has not run and
     * never will.
     *
     * @param status the HTTP status code of a response to a client
     * @return true if the status may only be returned for a request that has not run
     */
    boolean guaranteesNotRun(int status);

    /**
     * Encodes the headers of a response to a client.
     *
     * @param received the headers of the endpoint's response, which are not modified
     * @return new headers, without hop-by-hop headers
     */
    HttpHeaders encodeResponseHeaders(HttpHeaders received);

    /**
     * Encodes the delay after which a client may retry.
     *
     * @param delayMs the delay in milliseconds
     * @return the value of the {@code Retry-After} header
     */
    String encodeRetryAfter(long delayMs);

    /**
     * Decodes a request to a control node.
     *
     * @param request the received request
     * @return the decoded request, or empty if its method and path are unknown
     * @throws MalformedMessageException if the method and path are known but the content is invalid
     */
    Optional<ControlRequest> decodeControlRequest(ServerRequest request)
            throws MalformedMessageException;

    /**
     * Decodes a traffic document without validating its content.
     *
     * @param body the document as it was sent
     * @return the decoded document
     * @throws MalformedMessageException if the document does not have the expected form
     */
    TrafficDocument decodeTrafficDocument(byte[] body) throws MalformedMessageException;

    /**
     * Encodes the state of a version move as the response to an operator.
     *
     * @param move the state of the move
     * @return the response
     */
    ServerResponse encodeVersionMoveStatus(VersionMoveStatus move);

    /**
     * Encodes a report of the requests that started to run in one accounting window.
     *
     * @param usage the request counts
     * @param holder the node that sends the call
     * @return the call to send to the platform
     */
    PlatformCall encodeUsageReport(UsageReport usage, ControllerLeaseHolder holder);

    /**
     * Encodes a request for a number of endpoints.
     *
     * @param request the desired number of endpoints
     * @param holder the node that sends the call
     * @return the call to send to the platform
     */
    PlatformCall encodeScalingRequest(ScalingRequest request, ControllerLeaseHolder holder);

    /**
     * Returns the path that the platform polls to learn whether a gateway accepts new connections.
     *
     * @return the path of the readiness check
     */
    String readinessPath();
}
