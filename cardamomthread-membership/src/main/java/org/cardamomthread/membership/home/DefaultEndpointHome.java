package org.cardamomthread.membership.home;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointCodec;
import org.cardamomthread.membership.generated.CreditRevocation;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.node.NodeEntry;

/**
 * Combines the registry, the assignment and the ledger of one node.
 *
 * <p>All methods are synchronized; safe for use by several threads.
 */
public final class DefaultEndpointHome implements EndpointHome {

    private final NodeId self;
    private final long incarnation;
    private final HomeAssignment assignment;
    private final EndpointRegistry registry;
    private final CreditLedger ledger;
    private final AnnouncementListener listener;
    private final Set<EndpointId> revoked = new HashSet<>();

    /**
     * Creates a home that holds no endpoint yet.
     *
     * @param self this node
     * @param assignment chooses homes
     * @param settings the times, the same on every node
     * @param bearableRequests judges what endpoints bear
     * @param listener hears of accepted announcements
     * @param time the clock
     */
    public DefaultEndpointHome(
            NodeEntry self,
            HomeAssignment assignment,
            HomeSettings settings,
            BearableRequests bearableRequests,
            AnnouncementListener listener,
            TimeSource time) {
        this.self = self.id();
        this.incarnation = self.incarnation();
        this.assignment = assignment;
        this.listener = listener;
        this.registry = new EndpointRegistry(time, settings.announcementValidityMs());
        this.ledger =
                new CreditLedger(self.incarnation(), settings, time, registry, bearableRequests);
    }

    @Override
    public synchronized List<OutgoingMessage> announce(EndpointAnnouncement announcement) {
        NodeId home = homeOf(announcement.endpoint(), announcement.dataCentre()).orElse(self);
        if (home.equals(self)) {
            take(announcement);
            return List.of();
        }
        PeerMessage message =
                PeerMessage.newBuilder()
                        .setAnnouncement(EndpointCodec.toMessage(announcement))
                        .build();
        return List.of(new OutgoingMessage(home, message));
    }

    @Override
    public Optional<NodeId> homeOf(EndpointId endpoint, DataCentreId dataCentre) {
        return assignment.homeOf(endpoint, dataCentre);
    }

    @Override
    public synchronized List<OutgoingMessage> receive(NodeId from, PeerMessage message) {
        return switch (message.getContentCase()) {
            case ANNOUNCEMENT -> {
                take(EndpointCodec.announcement(message.getAnnouncement()));
                yield List.of();
            }
            case CREDIT_DEMAND ->
                    ledger.answer(from, message.getCreditDemand())
                            .map(grant -> PeerMessage.newBuilder().setCreditGrant(grant).build())
                            .map(answer -> List.of(new OutgoingMessage(from, answer)))
                            .orElse(List.of());
            default ->
                    throw new IllegalArgumentException(
                            "message "
                                    + message.getContentCase()
                                    + " is not for the home; ask EndpointHome.handles first");
        };
    }

    @Override
    public synchronized List<OutgoingMessage> tick() {
        ledger.expire();
        CreditRevocation.Builder revocation = CreditRevocation.newBuilder();
        for (EndpointId endpoint : ledger.endpoints()) {
            int bearable = ledger.bearable(endpoint);
            if (bearable > 0 && ledger.bound(endpoint) <= bearable) {
                revoked.remove(endpoint);
            } else if (revoked.add(endpoint)) {
                revocation.addHandles(ledger.handle(endpoint));
            }
        }
        if (revocation.getHandlesCount() == 0) {
            return List.of();
        }
        PeerMessage message =
                PeerMessage.newBuilder()
                        .setCreditRevocation(revocation.setHomeIncarnation(incarnation))
                        .build();
        List<OutgoingMessage> out = new ArrayList<>();
        ledger.gateways().forEach(gateway -> out.add(new OutgoingMessage(gateway, message)));
        return out;
    }

    @Override
    public synchronized List<EndpointId> endpoints() {
        return ledger.endpoints();
    }

    @Override
    public synchronized Optional<EndpointStatus> status(EndpointId endpoint) {
        return ledger.status(endpoint);
    }

    @Override
    public synchronized int inFlightBound(EndpointId endpoint) {
        return ledger.bound(endpoint);
    }

    private void take(EndpointAnnouncement announcement) {
        if (registry.offer(announcement)) {
            ledger.announce(announcement);
            listener.accepted(announcement);
        }
    }
}
