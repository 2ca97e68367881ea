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
 * Performs the home role of a node: it forwards announcements to the home of their endpoint, and
 * grants credits to gateways for the endpoints whose home is this node.
 *
 * <p>A home performs no I/O: the caller must send the returned messages, which may be lost,
 * duplicated and reordered.
 */
public interface EndpointHome {

    /**
     * Returns whether the home handles a message.
     *
     * @param message a message of any kind
     * @return true if {@link #receive} accepts it
     */
    static boolean handles(PeerMessage message) {
        return switch (message.getContentCase()) {
            case ANNOUNCEMENT, CREDIT_DEMAND -> true;
            default -> false;
        };
    }

    /**
     * Processes an announcement received from the endpoint itself. If another node is the home, the
     * returned message must be sent there once and to no other node, because {@link HomeOwnership}
     * relies on each announcement reaching a single home.
     *
     * @param announcement the received announcement
     * @return the message to forward, or an empty list if this node is the home
     */
    List<OutgoingMessage> receiveAnnouncement(EndpointAnnouncement announcement);

    /**
     * Returns the home of an endpoint according to this node's view of the cluster.
     *
     * @param endpoint the id of the endpoint
     * @param dataCentre the data centre where the endpoint runs
     * @return the id of the home node, or empty if no node is usable
     */
    Optional<NodeId> homeOf(EndpointId endpoint, DataCentreId dataCentre);

    /**
     * Processes a message from another node or from the gateway of this node.
     *
     * @param from the id of the sending node
     * @param message a message for which {@link #handles} returns true
     * @return the messages to send in response
     * @throws IllegalArgumentException if the home does not handle this kind of message
     */
    List<OutgoingMessage> receive(NodeId from, PeerMessage message);

    /**
     * Ends sessions of silent gateways, removes silent endpoints, and revokes credits of endpoints
     * whose concurrency limit fell below what was granted. Must be called several times per lease.
     *
     * @return the revocations to send
     */
    List<OutgoingMessage> tick();

    /**
     * Returns the endpoints whose announcements this home received.
     *
     * @return their ids in ascending order
     */
    List<EndpointId> endpoints();

    /**
     * Returns the status of an endpoint.
     *
     * @param endpoint the id of the endpoint
     * @return its status, or empty if this home received no announcement of it
     */
    Optional<HomeEndpointStatus> status(EndpointId endpoint);

    /**
     * Returns the maximum number of requests that may be in flight at an endpoint, according to the
     * open grants and the reported counts.
     *
     * @param endpoint the id of the endpoint
     * @return the upper bound, or zero if the endpoint is unknown
     */
    int maxInFlight(EndpointId endpoint);
}
