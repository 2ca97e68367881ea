package org.cardamomthread.membership.gateway;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.generated.PeerMessage;

/**
 * Manages the credits of one gateway.
 *
 * <p>A request may be started only with a {@link CreditPermit}. A pool performs no I/O: the caller
 * must send the returned messages, which may be lost, duplicated and reordered. Messages addressed
 * to this node must be delivered to its own {@link
 * org.cardamomthread.membership.home.EndpointHome}.
 */
public interface CreditPool {

    /**
     * Returns whether the pool handles a message.
     *
     * @param message a message of any kind
     * @return true if {@link #receive} accepts it
     */
    static boolean handles(PeerMessage message) {
        return switch (message.getContentCase()) {
            case CREDIT_GRANT, CREDIT_REVOCATION -> true;
            default -> false;
        };
    }

    /**
     * Creates the demands that are due. Must be called at least once per {@link
     * CreditPoolSettings#urgentIntervalMs()}.
     *
     * @return the messages to send
     */
    List<OutgoingMessage> tick();

    /**
     * Processes a message from a home.
     *
     * @param from the id of the sending node
     * @param message a message for which {@link #handles} returns true
     * @throws IllegalArgumentException if the pool does not handle this kind of message
     */
    void receive(NodeId from, PeerMessage message);

    /**
     * Returns the endpoints that a home described recently, including those without unused credits.
     *
     * @return a snapshot in ascending order of ids
     */
    List<EndpointSnapshot> endpoints();

    /**
     * Acquires a credit for one request. If there is none, the next demand asks for one more.
     *
     * @param endpoint the id of the endpoint
     * @return the permission to start the request, or empty if there is no unused credit with a
     *     valid lease
     */
    Optional<CreditPermit> tryAcquire(EndpointId endpoint);

    /**
     * Records that a request could be started at an endpoint if there were a credit. The next
     * demand is then urgent and asks for one more. Does not acquire a credit.
     *
     * @param endpoint the id of the endpoint
     */
    void recordRefusal(EndpointId endpoint);

    /**
     * Sets the number of requests that wait for an endpoint. Demands ask for this number, or for
     * the number of recent refusals by {@link #tryAcquire} if that is higher.
     *
     * @param endpoint the id of the endpoint
     * @param waiting the number of requests that could be started there immediately
     */
    void setWaitingRequests(EndpointId endpoint, int waiting);

    /**
     * Discards the unused credits of an endpoint. To be called when a connection to it failed,
     * because it may have restarted.
     *
     * @param endpoint the id of the endpoint
     */
    void discardUnusedCredits(EndpointId endpoint);
}
