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
 * Implements {@link EndpointHome} with an endpoint registry, a home assignment and a credit ledger.
 *
 * <p>Thread-safe: methods that read or change the state of this home are synchronized.
 */
public final class DefaultEndpointHome implements EndpointHome {

    private final NodeId self;
    private final long incarnation;
    private final HomeAssignment assignment;
    private final HomeEndpointRegistry registry;
    private final CreditLedger ledger;
    private final AnnouncementListener listener;
    private final Set<EndpointId> revokedEndpoints = new HashSet<>();

    /**
     * Creates a home that knows no endpoints yet.
     *
     * @param self the entry of this node, whose incarnation identifies this home to gateways
     * @param assignment the strategy that chooses the home of each endpoint
     * @param settings the timing limits, which must be the same on every node
     * @param concurrencyPolicy the policy that determines the concurrency limit of each endpoint
     * @param listener the receiver of accepted announcements
     * @param time the clock for leases, ownership and silence
     */
    public DefaultEndpointHome(
            NodeEntry self,
            HomeAssignment assignment,
            HomeSettings settings,
            ConcurrencyLimitPolicy concurrencyPolicy,
            AnnouncementListener listener,
            TimeSource time) {
        this.self = self.id();
        this.incarnation = self.incarnation();
        this.assignment = assignment;
        this.listener = listener;
        this.registry = new HomeEndpointRegistry(time, settings.announcementValidityMs());
        this.ledger =
                new CreditLedger(self.incarnation(), settings, time, registry, concurrencyPolicy);
    }

    @Override
    public synchronized List<OutgoingMessage> receiveAnnouncement(
            EndpointAnnouncement announcement) {
        NodeId home = homeOf(announcement.endpoint(), announcement.dataCentre()).orElse(self);
        if (home.equals(self)) {
            processAnnouncement(announcement);
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
                processAnnouncement(EndpointCodec.toAnnouncement(message.getAnnouncement()));
                yield List.of();
            }
            case CREDIT_DEMAND ->
                    ledger.handleDemand(from, message.getCreditDemand())
                            .map(grant -> PeerMessage.newBuilder().setCreditGrant(grant).build())
                            .map(response -> List.of(new OutgoingMessage(from, response)))
                            .orElse(List.of());
            default ->
                    throw new IllegalArgumentException(
                            "message "
                                    + message.getContentCase()
                                    + " is not handled by the endpoint home; "
                                    + "check EndpointHome.handles first");
        };
    }

    @Override
    public synchronized List<OutgoingMessage> tick() {
        ledger.removeSilent();
        CreditRevocation.Builder revocation = CreditRevocation.newBuilder();
        for (EndpointId endpoint : ledger.endpoints()) {
            int concurrencyLimit = ledger.concurrencyLimit(endpoint);
            if (concurrencyLimit > 0 && ledger.maxInFlight(endpoint) <= concurrencyLimit) {
                revokedEndpoints.remove(endpoint);
            } else if (revokedEndpoints.add(endpoint)) {
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
    public synchronized Optional<HomeEndpointStatus> status(EndpointId endpoint) {
        return ledger.status(endpoint);
    }

    @Override
    public synchronized int maxInFlight(EndpointId endpoint) {
        return ledger.maxInFlight(endpoint);
    }

    private void processAnnouncement(EndpointAnnouncement announcement) {
        if (registry.putIfNewer(announcement)) {
            ledger.onAnnouncement(announcement);
            listener.onAnnouncement(announcement);
        }
    }
}
