package org.cardamomthread.membership.gateway;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.generated.PeerMessage;

/**
 * Holds the credits of one gateway.
 *
 * <p>A request may begin only with a {@link CreditHold}. The pool sends nothing itself; the
 * returned messages may be lost, repeated and reordered. A message may be for this very node, whose
 * own home then takes it.
 */
public interface CreditPool {

    /**
     * Tells whether a message is for the pool.
     *
     * @param message any message
     * @return true if {@link #receive} takes it
     */
    static boolean handles(PeerMessage message) {
        return switch (message.getContentCase()) {
            case CREDIT_GRANT, CREDIT_REVOCATION -> true;
            default -> false;
        };
    }

    /**
     * Sends the demands that are due; to be called at least every {@link
     * CreditPoolSettings#urgentIntervalMs()}.
     *
     * @return messages to send
     */
    List<OutgoingMessage> tick();

    /**
     * Takes a message of a home.
     *
     * @param from the sender
     * @param message a message that {@link #handles}
     */
    void receive(NodeId from, PeerMessage message);

    /**
     * Returns the endpoints of which a home told recently, those without free credits included.
     *
     * @return a snapshot in ascending order of ids
     */
    List<AvailableEndpoint> endpoints();

    /**
     * Takes a credit for one request.
     *
     * @param endpoint the endpoint
     * @return the hold, or empty if there is no free credit under a running lease; the next demand
     *     then asks for one more
     */
    Optional<CreditHold> tryAcquire(EndpointId endpoint);

    /**
     * Records that a request would start at an endpoint if there were a credit; the next demand
     * then asks for one more, at once. Takes no credit.
     *
     * @param endpoint the endpoint
     */
    void recordShortage(EndpointId endpoint);

    /**
     * States how many requests wait for an endpoint, beyond those that {@link #tryAcquire} refused.
     *
     * @param endpoint the endpoint
     * @param waiting requests that would start there at once
     */
    void setWaiting(EndpointId endpoint, int waiting);

    /**
     * Drops the unused credits of an endpoint, because a connection to it failed and it may have
     * started anew.
     *
     * @param endpoint the endpoint
     */
    void dropCredits(EndpointId endpoint);
}
