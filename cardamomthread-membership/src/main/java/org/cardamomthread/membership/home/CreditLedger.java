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
 * Lends credits for the endpoints whose home this node is.
 *
 * <p>A grant answers one demand and states, for each endpoint, how many requests the gateway may
 * have in flight after it starts one more. The gateway counts the lease from before it sent the
 * demand, the home from the grant; the home never relies on its own count alone but keeps a grant
 * open until the gateway reports it closed or, for a silent gateway, until the lease has run out on
 * a clock that is slow by the stated rate.
 *
 * <p>Not safe for use by several threads; its home guards it.
 */
final class CreditLedger {

    private final long homeIncarnation;
    private final HomeSettings settings;
    private final TimeSource time;
    private final EndpointRegistry registry;
    private final BearableRequests bearableRequests;
    private final Map<EndpointId, EndpointLedger> ledgers = new TreeMap<>();
    private final Map<Integer, EndpointId> byHandle = new HashMap<>();
    private final Map<NodeId, GatewaySession> sessions = new HashMap<>();
    private int nextHandle = 1;

    CreditLedger(
            long homeIncarnation,
            HomeSettings settings,
            TimeSource time,
            EndpointRegistry registry,
            BearableRequests bearableRequests) {
        this.homeIncarnation = homeIncarnation;
        this.settings = settings;
        this.time = time;
        this.registry = registry;
        this.bearableRequests = bearableRequests;
    }

    void announce(EndpointAnnouncement announcement) {
        EndpointLedger ledger = ledgers.get(announcement.endpoint());
        if (ledger == null) {
            ledger = new EndpointLedger(nextHandle++, settings);
            ledgers.put(announcement.endpoint(), ledger);
            byHandle.put(ledger.handle(), announcement.endpoint());
        }
        ledger.announce(announcement, time.monotonicMs());
    }

    Optional<CreditGrant> answer(NodeId gateway, CreditDemand demand) {
        long nowMs = time.monotonicMs();
        Optional<GatewaySession> session = session(gateway, demand, nowMs);
        if (session.isEmpty()) {
            return Optional.empty();
        }
        long sentAfterMs = session.get().sentAfterMs(demand.getAppliedSequence());
        close(gateway, session.get(), demand.getClosedSequence());
        report(gateway, demand, sentAfterMs, nowMs);
        CreditGrant grant = grant(gateway, demand.getSequence(), nowMs);
        session.get().granted(demand.getSequence(), nowMs);
        return Optional.of(grant);
    }

    /** Moves what silent gateways may have in flight to the reserve and drops gone endpoints. */
    void expire() {
        long nowMs = time.monotonicMs();
        long silenceMs = Math.max(settings.gatewaySilenceMs(), settings.leaseOnHomeClockMs());
        List<NodeId> silent = new ArrayList<>();
        sessions.forEach(
                (gateway, session) -> {
                    if (nowMs - session.lastDemandMs() > silenceMs) {
                        silent.add(gateway);
                    }
                });
        silent.forEach(gateway -> end(gateway, nowMs));
        List<EndpointId> gone = ledgers.keySet().stream().filter(registry::isForgettable).toList();
        for (EndpointId endpoint : gone) {
            byHandle.remove(ledgers.remove(endpoint).handle());
            registry.forget(endpoint);
        }
    }

    Optional<EndpointStatus> status(EndpointId endpoint) {
        EndpointLedger ledger = ledgers.get(endpoint);
        boolean held = ledger != null && ledger.isHeld(time.monotonicMs());
        return registry.status(endpoint, held);
    }

    List<EndpointId> endpoints() {
        return List.copyOf(ledgers.keySet());
    }

    int bearable(EndpointId endpoint) {
        Optional<EndpointStatus> status = status(endpoint);
        if (status.isEmpty() || !status.get().held() || !status.get().alive()) {
            return 0;
        }
        EndpointAnnouncement announcement = status.get().announcement();
        if (!announcement.description().state().takesRequests()) {
            return 0;
        }
        int judged = bearableRequests.bearable(status.get());
        return Math.max(0, Math.min(judged, announcement.load().bearableRequests()));
    }

    int bound(EndpointId endpoint) {
        EndpointLedger ledger = ledgers.get(endpoint);
        return ledger == null ? 0 : ledger.bound(time.monotonicMs());
    }

    int handle(EndpointId endpoint) {
        return ledgers.get(endpoint).handle();
    }

    List<NodeId> gateways() {
        return List.copyOf(sessions.keySet());
    }

    private Optional<GatewaySession> session(NodeId gateway, CreditDemand demand, long nowMs) {
        GatewaySession present = sessions.get(gateway);
        if (present != null && demand.getGatewayIncarnation() < present.incarnation()) {
            return Optional.empty();
        }
        if (present != null && demand.getGatewayIncarnation() > present.incarnation()) {
            end(gateway, nowMs);
            present = null;
        }
        if (present == null) {
            present = new GatewaySession(demand.getGatewayIncarnation());
            sessions.put(gateway, present);
        }
        return present.accept(demand.getSequence(), nowMs)
                ? Optional.of(present)
                : Optional.empty();
    }

    private void end(NodeId gateway, long nowMs) {
        sessions.remove(gateway);
        ledgers.values().forEach(ledger -> ledger.orphan(gateway, nowMs));
    }

    private void close(NodeId gateway, GatewaySession session, long closedSequence) {
        session.close(closedSequence);
        ledgers.values().forEach(ledger -> ledger.close(gateway, closedSequence));
    }

    private void report(NodeId gateway, CreditDemand demand, long sentAfterMs, long nowMs) {
        ledgers.values().forEach(ledger -> ledger.clear(gateway));
        if (demand.getHomeIncarnation() == homeIncarnation) {
            for (EndpointDemandMessage wanted : demand.getEndpointsList()) {
                EndpointId endpoint = byHandle.get(wanted.getHandle());
                if (endpoint != null) {
                    EndpointLedger ledger = ledgers.get(endpoint);
                    GatewayCounts counts =
                            new GatewayCounts(wanted.getStarted(), wanted.getFinished());
                    ledger.report(gateway, counts, sentAfterMs, nowMs);
                    ledger.account(gateway)
                            .want(
                                    wanted.getWaiting(),
                                    wanted.getHeadroom(),
                                    wanted.getDescriptionSequence());
                }
            }
        }
        for (NamedInFlight named : demand.getNamedList()) {
            EndpointLedger ledger = ledgers.get(new EndpointId(named.getEndpointId()));
            if (ledger != null) {
                GatewayCounts counts = new GatewayCounts(named.getStarted(), named.getFinished());
                ledger.report(gateway, counts, sentAfterMs, nowMs);
            }
        }
    }

    private CreditGrant grant(NodeId gateway, long demandSequence, long nowMs) {
        CreditGrant.Builder grant =
                CreditGrant.newBuilder()
                        .setHomeIncarnation(homeIncarnation)
                        .setDemandSequence(demandSequence)
                        .setLeaseMs((int) settings.leaseMs());
        ledgers.forEach(
                (endpoint, ledger) -> {
                    int limit = ledger.grant(gateway, demandSequence, bearable(endpoint), nowMs);
                    registry.status(endpoint, ledger.isHeld(nowMs))
                            .filter(EndpointStatus::alive)
                            .ifPresent(
                                    status ->
                                            grant.addEndpoints(
                                                    grantMessage(gateway, ledger, status, limit)));
                });
        return grant.build();
    }

    private static EndpointGrantMessage grantMessage(
            NodeId gateway, EndpointLedger ledger, EndpointStatus status, int limit) {
        EndpointAnnouncement announcement = status.announcement();
        EndpointGrantMessage.Builder message =
                EndpointGrantMessage.newBuilder()
                        .setHandle(ledger.handle())
                        .setLimit(limit)
                        .setEndpointIncarnation(announcement.incarnation())
                        .setDescriptionSequence(ledger.descriptionSequence())
                        .setLoad(EndpointCodec.toMessage(announcement.load()));
        int known = ledger.account(gateway).descriptionSequence();
        if (known != ledger.descriptionSequence()) {
            message.setEndpointId(announcement.endpoint().value())
                    .setDataCentre(announcement.dataCentre().value())
                    .setDescription(EndpointCodec.toMessage(announcement.description()));
        }
        return message.build();
    }
}
