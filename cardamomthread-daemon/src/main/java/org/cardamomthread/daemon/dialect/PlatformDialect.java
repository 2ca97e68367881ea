package org.cardamomthread.daemon.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.HttpReply;

/**
 * Translates between a platform's messages and the system's types.
 *
 * <p>Implementations decide nothing, keep no state and are safe for use by several threads.
 */
public interface PlatformDialect {

    /**
     * Reads the head of a caller's request.
     *
     * @param call the request
     * @return what it says of itself
     * @throws MalformedMessageException if a header that must be right is missing or wrong
     */
    RequestHead decodeRequest(HttpCall call) throws MalformedMessageException;

    /**
     * Writes the headers of a request to an endpoint.
     *
     * @param received the caller's headers, not changed
     * @param attempt what the system sets
     * @return new headers, without those that concern one connection or only the system
     */
    HttpHeaders encodeRequest(HttpHeaders received, AttemptHead attempt);

    /**
     * Names the header in which an endpoint returns the request's identifier.
     *
     * @return the header's name
     */
    String correlationHeader();

    /**
     * Reads the head of an endpoint's answer.
     *
     * @param status the status code
     * @param headers the headers
     * @return what it says
     */
    AnswerHead decodeAnswer(int status, HttpHeaders headers);

    /**
     * Writes the headers of an answer to a caller.
     *
     * @param received the endpoint's headers, not changed
     * @return new headers, without those that concern one connection
     */
    HttpHeaders encodeAnswer(HttpHeaders received);

    /**
     * Writes a time after which a caller may try again.
     *
     * @param delayMs the time in milliseconds
     * @return the value of the header {@code Retry-After}
     */
    String encodeRetryAfter(long delayMs);

    /**
     * Reads a call to a control node.
     *
     * @param call the call
     * @return what it asks for, or empty if no such call is known
     * @throws MalformedMessageException if the call is known and its content is wrong
     */
    Optional<ControlOrder> decodeOrder(HttpCall call) throws MalformedMessageException;

    /**
     * Reads a traffic document; its meaning is not checked.
     *
     * @param body the document as it was sent
     * @return the document
     * @throws MalformedMessageException if it has another form
     */
    TrafficDocument decodeDocument(byte[] body) throws MalformedMessageException;

    /**
     * Writes the answer to a question about a version move.
     *
     * @param move the move
     * @return the answer
     */
    HttpReply encodeMove(MoveReport move);

    /**
     * Writes a report of the requests that began in one accounting window.
     *
     * @param usage the report
     * @param holder who sends it
     * @return the call to the platform
     */
    PlatformCall encodeUsage(UsageReport usage, DutyHolder holder);

    /**
     * Writes an order for a number of endpoints.
     *
     * @param order the order
     * @param holder who sends it
     * @return the call to the platform
     */
    PlatformCall encodeScaling(ScalingOrder order, DutyHolder holder);

    /**
     * Names the path at which the platform asks whether a gateway takes new connections.
     *
     * @return the path
     */
    String readinessPath();
}
