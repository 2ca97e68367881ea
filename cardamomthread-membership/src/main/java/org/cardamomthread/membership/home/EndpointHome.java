package org.cardamomthread.membership.home;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.generated.PeerMessage;

/**
 * Serves a node's duty as home: it hears announcements, routes them to the endpoint's home and
 * lends credits for the endpoints whose home is this node.
 *
 * <p>Sends nothing itself; the returned messages may be lost, repeated and reordered.
 */
public interface EndpointHome {

    /**
     * Tells whether a message is for the home.
     *
     * @param message any message
     * @return true if {@link #receive} takes it
     */
    static boolean handles(PeerMessage message) {
        return switch (message.getContentCase()) {
            case ANNOUNCEMENT, CREDIT_DEMAND -> true;
            default -> false;
        };
    }

    /**
     * Takes an announcement from the endpoint itself. If another node is the home, the result must
     * be sent there, once and to no other node.
     *
     * @param announcement the announcement
     * @return at most one message to forward
     */
    List<OutgoingMessage> announce(EndpointAnnouncement announcement);

    /**
     * Returns the home of an endpoint as this node sees it.
     *
     * @param endpoint the endpoint
     * @param dataCentre where it is
     * @return the home, or empty if no node is usable
     */
    Optional<NodeId> homeOf(EndpointId endpoint, DataCentreId dataCentre);

    /**
     * Takes a message of another node, or of this node's own gateway.
     *
     * @param from the sender
     * @param message a message that {@link #handles}
     * @return messages to send in answer
     */
    List<OutgoingMessage> receive(NodeId from, PeerMessage message);

    /**
     * Ends what has expired and takes credits back early where an endpoint bears less than was
     * granted; to be called several times a lease.
     *
     * @return messages to send
     */
    List<OutgoingMessage> tick();

    /**
     * Returns the endpoints that announce themselves here.
     *
     * @return their ids in ascending order
     */
    List<EndpointId> endpoints();

    /**
     * Shows one endpoint that announces itself here.
     *
     * @param endpoint the endpoint
     * @return its status, or empty if it is unknown
     */
    Optional<EndpointStatus> status(EndpointId endpoint);

    /**
     * Returns the most requests that may be in flight at an endpoint by what was granted and
     * reported.
     *
     * @param endpoint the endpoint
     * @return the bound, zero if the endpoint is unknown
     */
    int inFlightBound(EndpointId endpoint);
}
