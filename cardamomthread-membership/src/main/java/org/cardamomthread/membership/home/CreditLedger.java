package org.cardamomthread.membership.home;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.endpoint.EndpointCodec;
import org.cardamomthread.membership.generated.CreditDemand;
import org.cardamomthread.membership.generated.CreditGrant;
import org.cardamomthread.membership.generated.EndpointDemandMessage;
import org.cardamomthread.membership.generated.EndpointGrantMessage;
import org.cardamomthread.membership.generated.NamedInFlight;

/**
 * Grants credits for the endpoints that announce themselves to this node.
 *
 * <p>A grant answers one demand. For each endpoint it states the limit up to which the gateway may
 * start requests, counting those already in flight. The lease starts before the demand is sent on
 * the gateway's clock and at the grant on the home's clock. The home does not rely on its own clock
 * alone: a grant stays open until the gateway reports it closed or, for a silent gateway, until the
 * lease has expired even on the slowest permitted gateway clock.
 *
 * <p>Not thread-safe; the owning home synchronizes access.
 */
final class CreditLedger {

    private final long homeIncarnation;
    private final HomeSettings settings;
    private final TimeSource time;
    private final HomeEndpointRegistry registry;
    private final ConcurrencyLimitPolicy concurrencyPolicy;
    private final Map<EndpointId, EndpointLedger> ledgers = new TreeMap<>();
    private final Map<Integer, EndpointId> endpointsByHandle = new HashMap<>();
    private final Map<NodeId, GatewaySession> sessions = new HashMap<>();
    private int nextHandle = 1;

    CreditLedger(
            long homeIncarnation,
            HomeSettings settings,
            TimeSource time,
            HomeEndpointRegistry registry,
            ConcurrencyLimitPolicy concurrencyPolicy) {
        this.homeIncarnation = homeIncarnation;
        this.settings = settings;
        this.time = time;
        this.registry = registry;
        this.concurrencyPolicy = concurrencyPolicy;
    }

    void onAnnouncement(EndpointAnnouncement announcement) {
        EndpointLedger ledger = ledgers.get(announcement.endpoint());
        if (ledger == null) {
            ledger = new EndpointLedger(nextHandle++, settings);
            ledgers.put(announcement.endpoint(), ledger);
            endpointsByHandle.put(ledger.handle(), announcement.endpoint());
        }
        ledger.onAnnouncement(announcement, time.monotonicMs());
    }

    /** Answers a demand, or returns empty if it is outdated or a duplicate. */
    Optional<CreditGrant> handleDemand(NodeId gateway, CreditDemand demand) {
        long nowMs = time.monotonicMs();
        Optional<GatewaySession> session = sessionFor(gateway, demand, nowMs);
        if (session.isEmpty()) {
            return Optional.empty();
        }
        long earliestSendMs = session.get().earliestSendMs(demand.getAppliedSequence());
        closeGrants(gateway, session.get(), demand.getClosedSequence());
        recordCounts(gateway, demand, earliestSendMs, nowMs);
        CreditGrant grant = createGrant(gateway, demand.getSequence(), nowMs);
        session.get().recordGrant(demand.getSequence(), nowMs);
        return Optional.of(grant);
    }

    /**
     * Ends the sessions of silent gateways, whose requests in flight become orphaned, and removes
     * endpoints that have long been silent.
     */
    void removeSilent() {
        long nowMs = time.monotonicMs();
        long silenceMs = Math.max(settings.gatewayTimeoutMs(), settings.maxLeaseOnHomeClockMs());
        List<NodeId> silent = new ArrayList<>();
        sessions.forEach(
                (gateway, session) -> {
                    if (nowMs - session.lastDemandMs() > silenceMs) {
                        silent.add(gateway);
                    }
                });
        silent.forEach(gateway -> endSession(gateway, nowMs));
        List<EndpointId> removable =
                ledgers.keySet().stream().filter(registry::isRemovable).toList();
        for (EndpointId endpoint : removable) {
            endpointsByHandle.remove(ledgers.remove(endpoint).handle());
            registry.remove(endpoint);
        }
    }

    Optional<HomeEndpointStatus> status(EndpointId endpoint) {
        EndpointLedger ledger = ledgers.get(endpoint);
        boolean mayGrant = ledger != null && ledger.mayGrant(time.monotonicMs());
        return registry.status(endpoint, mayGrant);
    }

    List<EndpointId> endpoints() {
        return List.copyOf(ledgers.keySet());
    }

    /**
     * Returns the requests that may be in flight at an endpoint; zero if this node may not grant.
     */
    int concurrencyLimit(EndpointId endpoint) {
        Optional<HomeEndpointStatus> status = status(endpoint);
        if (status.isEmpty() || !status.get().owned() || !status.get().alive()) {
            return 0;
        }
        EndpointAnnouncement announcement = status.get().announcement();
        if (!announcement.description().state().acceptsRequests()) {
            return 0;
        }
        int policyLimit = concurrencyPolicy.concurrencyLimit(status.get());
        return Math.max(0, Math.min(policyLimit, announcement.load().concurrencyLimit()));
    }

    /** Returns the most requests that may be in flight, by the open grants and reported counts. */
    int maxInFlight(EndpointId endpoint) {
        EndpointLedger ledger = ledgers.get(endpoint);
        return ledger == null ? 0 : ledger.maxInFlight(time.monotonicMs());
    }

    int handle(EndpointId endpoint) {
        return ledgers.get(endpoint).handle();
    }

    List<NodeId> gateways() {
        return List.copyOf(sessions.keySet());
    }

    /** Returns the session of a gateway if it accepts the demand, starting a new one if needed. */
    private Optional<GatewaySession> sessionFor(NodeId gateway, CreditDemand demand, long nowMs) {
        GatewaySession session = sessions.get(gateway);
        if (session != null && demand.getGatewayIncarnation() < session.incarnation()) {
            return Optional.empty();
        }
        if (session != null && demand.getGatewayIncarnation() > session.incarnation()) {
            endSession(gateway, nowMs);
            session = null;
        }
        if (session == null) {
            session = new GatewaySession(demand.getGatewayIncarnation());
            sessions.put(gateway, session);
        }
        return session.acceptDemand(demand.getSequence(), nowMs)
                ? Optional.of(session)
                : Optional.empty();
    }

    private void endSession(NodeId gateway, long nowMs) {
        sessions.remove(gateway);
        ledgers.values().forEach(ledger -> ledger.orphanRequestsOf(gateway, nowMs));
    }

    private void closeGrants(NodeId gateway, GatewaySession session, long closedSequence) {
        session.closeGrants(closedSequence);
        ledgers.values().forEach(ledger -> ledger.closeGrants(gateway, closedSequence));
    }

    private void recordCounts(
            NodeId gateway, CreditDemand demand, long earliestSendMs, long nowMs) {
        ledgers.values().forEach(ledger -> ledger.markIdle(gateway));
        if (demand.getHomeIncarnation() == homeIncarnation) {
            for (EndpointDemandMessage endpointDemand : demand.getEndpointsList()) {
                EndpointId endpoint = endpointsByHandle.get(endpointDemand.getHandle());
                if (endpoint != null) {
                    EndpointLedger ledger = ledgers.get(endpoint);
                    RequestCounts counts =
                            new RequestCounts(
                                    endpointDemand.getStarted(), endpointDemand.getFinished());
                    ledger.recordCounts(gateway, counts, earliestSendMs, nowMs);
                    ledger.account(gateway)
                            .recordDemand(
                                    endpointDemand.getWaiting(),
                                    endpointDemand.getHeadroom(),
                                    endpointDemand.getDescriptionSequence());
                }
            }
        }
        for (NamedInFlight named : demand.getNamedList()) {
            EndpointLedger ledger = ledgers.get(new EndpointId(named.getEndpointId()));
            if (ledger != null) {
                RequestCounts counts = new RequestCounts(named.getStarted(), named.getFinished());
                ledger.recordCounts(gateway, counts, earliestSendMs, nowMs);
            }
        }
    }

    private CreditGrant createGrant(NodeId gateway, long demandSequence, long nowMs) {
        CreditGrant.Builder grant =
                CreditGrant.newBuilder()
                        .setHomeIncarnation(homeIncarnation)
                        .setDemandSequence(demandSequence)
                        .setLeaseMs((int) settings.leaseMs());
        ledgers.forEach(
                (endpoint, ledger) -> {
                    int limit =
                            ledger.grant(
                                    gateway, demandSequence, concurrencyLimit(endpoint), nowMs);
                    registry.status(endpoint, ledger.mayGrant(nowMs))
                            .filter(HomeEndpointStatus::alive)
                            .ifPresent(
                                    status ->
                                            grant.addEndpoints(
                                                    toMessage(gateway, ledger, status, limit)));
                });
        return grant.build();
    }

    private static EndpointGrantMessage toMessage(
            NodeId gateway, EndpointLedger ledger, HomeEndpointStatus status, int limit) {
        EndpointAnnouncement announcement = status.announcement();
        EndpointGrantMessage.Builder message =
                EndpointGrantMessage.newBuilder()
                        .setHandle(ledger.handle())
                        .setLimit(limit)
                        .setEndpointIncarnation(announcement.incarnation())
                        .setDescriptionSequence(ledger.descriptionSequence())
                        .setLoad(EndpointCodec.toMessage(announcement.load()));
        int descriptionSequenceAtGateway = ledger.account(gateway).descriptionSequence();
        if (descriptionSequenceAtGateway != ledger.descriptionSequence()) {
            message.setEndpointId(announcement.endpoint().value())
                    .setDataCentre(announcement.dataCentre().value())
                    .setDescription(EndpointCodec.toMessage(announcement.description()));
        }
        return message.build();
    }
}
