package org.cardamomthread.membership.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.endpoint.EndpointCodec;
import org.cardamomthread.membership.endpoint.EndpointDescription;
import org.cardamomthread.membership.endpoint.EndpointLoad;
import org.cardamomthread.membership.generated.CreditDemand;
import org.cardamomthread.membership.generated.CreditGrant;
import org.cardamomthread.membership.generated.EndpointDemandMessage;
import org.cardamomthread.membership.generated.EndpointGrantMessage;
import org.cardamomthread.membership.generated.NamedInFlight;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.node.NodeDirectory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains credits by sending demands to a bounded number of homes.
 *
 * <p>Invariant: no request is started after its lease has expired on the local clock, measured from
 * before the demand was sent. All methods are synchronized, so the pool is thread-safe.
 */
public final class DefaultCreditPool implements CreditPool {

    private static final Logger LOGGER = LoggerFactory.getLogger(DefaultCreditPool.class);

    /**
     * The lease durations of silence after which an endpoint without requests in flight is removed.
     */
    private static final int REMOVE_AFTER_SILENT_LEASES = 5;

    private final NodeDirectory directory;
    private final CreditPoolSettings settings;
    private final TimeSource time;
    private final Map<NodeId, HomeSession> homeSessions = new HashMap<>();
    private final TreeMap<EndpointId, EndpointCredits> creditsByEndpoint = new TreeMap<>();
    private Set<NodeId> selectedHomes = Set.of();
    private long nextSelectionMs = Long.MIN_VALUE;
    private long nextSequence = 1;
    private long totalStarted;

    /**
     * Creates a pool without credits.
     *
     * @param directory the directory of all nodes, including this one
     * @param settings the intervals and limits of demands
     * @param time the clock for leases and intervals
     */
    public DefaultCreditPool(
            NodeDirectory directory, CreditPoolSettings settings, TimeSource time) {
        this.directory = directory;
        this.settings = settings;
        this.time = time;
    }

    @Override
    public synchronized List<OutgoingMessage> tick() {
        long nowMs = time.monotonicMs();
        removeSilent(nowMs);
        Set<NodeId> homes = demandTargets(nowMs);
        List<OutgoingMessage> out = new ArrayList<>();
        for (NodeId home : homes) {
            HomeSession session =
                    homeSessions.computeIfAbsent(home, key -> new HomeSession(settings.leaseMs()));
            boolean urgent = hasUnmetDemand(session);
            if (session.isDue(urgent, settings, nowMs)) {
                out.add(new OutgoingMessage(home, createDemand(session, urgent, nowMs)));
            }
        }
        return out;
    }

    @Override
    public synchronized void receive(NodeId from, PeerMessage message) {
        switch (message.getContentCase()) {
            case CREDIT_GRANT -> applyGrant(from, message.getCreditGrant());
            case CREDIT_REVOCATION -> {
                HomeSession session = homeSessions.get(from);
                boolean currentIncarnation =
                        session != null
                                && session.homeIncarnation()
                                        == message.getCreditRevocation().getHomeIncarnation();
                if (currentIncarnation) {
                    message.getCreditRevocation()
                            .getHandlesList()
                            .forEach(handle -> revoke(from, session, handle));
                }
            }
            default ->
                    throw new IllegalArgumentException(
                            "message "
                                    + message.getContentCase()
                                    + " is not handled by the credit pool; "
                                    + "check CreditPool.handles first");
        }
    }

    @Override
    public synchronized List<EndpointSnapshot> endpoints() {
        long nowMs = time.monotonicMs();
        return creditsByEndpoint.values().stream()
                .filter(EndpointCredits::isDescribed)
                .map(credits -> credits.snapshot(nowMs))
                .toList();
    }

    @Override
    public synchronized Optional<CreditPermit> tryAcquire(EndpointId endpoint) {
        EndpointCredits credits = creditsByEndpoint.get(endpoint);
        if (credits == null || !credits.tryStart(time.monotonicMs())) {
            return Optional.empty();
        }
        totalStarted++;
        return Optional.of(new PoolPermit(credits));
    }

    @Override
    public synchronized void recordRefusal(EndpointId endpoint) {
        EndpointCredits credits = creditsByEndpoint.get(endpoint);
        if (credits != null) {
            credits.countRefusal();
        }
    }

    @Override
    public synchronized void setWaitingRequests(EndpointId endpoint, int waiting) {
        EndpointCredits credits = creditsByEndpoint.get(endpoint);
        if (credits != null) {
            credits.setWaiting(waiting);
        }
    }

    @Override
    public synchronized void discardUnusedCredits(EndpointId endpoint) {
        EndpointCredits credits = creditsByEndpoint.get(endpoint);
        if (credits != null) {
            credits.discard();
        }
    }

    /** Returns the selected homes and those of all endpoints with requests in flight. */
    private Set<NodeId> demandTargets(long nowMs) {
        if (nowMs >= nextSelectionMs) {
            nextSelectionMs = nowMs + settings.demandIntervalMs();
            selectedHomes = Set.copyOf(HomeSelector.choose(directory, settings));
        }
        Set<NodeId> homes = new TreeSet<>(selectedHomes);
        for (EndpointCredits credits : creditsByEndpoint.values()) {
            if (credits.inFlight() > 0 && credits.home() != null) {
                homes.add(credits.home());
            }
        }
        return homes;
    }

    private PeerMessage createDemand(HomeSession session, boolean urgent, long nowMs) {
        long sequence = nextSequence++;
        CreditDemand.Builder demand =
                CreditDemand.newBuilder()
                        .setGatewayIncarnation(directory.self().incarnation())
                        .setSequence(sequence)
                        .setClosedSequence(session.closeExpiredGrants(nowMs))
                        .setAppliedSequence(session.appliedSequence())
                        .setHomeIncarnation(session.homeIncarnation());
        Set<EndpointId> reported = new HashSet<>();
        session.endpointsByHandle()
                .forEach(
                        (handle, knownEndpoint) -> {
                            EndpointCredits credits =
                                    creditsByEndpoint.get(knownEndpoint.endpoint());
                            if (credits != null) {
                                reported.add(knownEndpoint.endpoint());
                                demand.addEndpoints(endpointDemand(handle, knownEndpoint, credits));
                                credits.onDemandSent();
                            }
                        });
        for (EndpointCredits credits : creditsByEndpoint.values()) {
            if (credits.inFlight() > 0 && !reported.contains(credits.endpoint())) {
                demand.addNamed(namedInFlight(credits));
            }
        }
        session.recordDemand(sequence, urgent, nowMs);
        return PeerMessage.newBuilder().setCreditDemand(demand).build();
    }

    private static EndpointDemandMessage endpointDemand(
            int handle, HomeSession.KnownEndpoint knownEndpoint, EndpointCredits credits) {
        return EndpointDemandMessage.newBuilder()
                .setHandle(handle)
                .setStarted(credits.started())
                .setFinished(credits.finished())
                .setWaiting(credits.waiting())
                .setHeadroom(credits.headroom())
                .setDescriptionSequence(knownEndpoint.descriptionSequence())
                .build();
    }

    private static NamedInFlight namedInFlight(EndpointCredits credits) {
        return NamedInFlight.newBuilder()
                .setEndpointId(credits.endpoint().value())
                .setStarted(credits.started())
                .setFinished(credits.finished())
                .build();
    }

    private void applyGrant(NodeId from, CreditGrant grant) {
        long nowMs = time.monotonicMs();
        HomeSession session = homeSessions.get(from);
        if (session == null) {
            return;
        }
        Optional<Long> demandSentMs =
                session.applyGrant(grant.getDemandSequence(), grant.getHomeIncarnation(), nowMs);
        if (demandSentMs.isEmpty()) {
            return;
        }
        long leaseEndMs = demandSentMs.get() + Math.min(settings.leaseMs(), grant.getLeaseMs());
        Set<EndpointId> granted = new HashSet<>();
        for (EndpointGrantMessage message : grant.getEndpointsList()) {
            try {
                EndpointLoad load = EndpointCodec.toLoad(message.getLoad());
                EndpointCredits credits = creditsFor(session, message);
                if (credits != null) {
                    granted.add(credits.endpoint());
                    credits.updateLoad(load, nowMs);
                    long incarnation = message.getEndpointIncarnation();
                    credits.applyGrant(from, incarnation, message.getLimit(), leaseEndMs, nowMs);
                }
            } catch (IllegalArgumentException e) {
                LOGGER.warn("ignored an endpoint in a grant of node {}: {}", from, e.getMessage());
            }
        }
        creditsByEndpoint.values().stream()
                .filter(credits -> !granted.contains(credits.endpoint()))
                .forEach(credits -> credits.discard(from));
    }

    /**
     * Returns the credits of the endpoint in a grant, or null if its handle is unknown.
     *
     * @throws IllegalArgumentException if the description is invalid; nothing has changed then
     */
    private EndpointCredits creditsFor(HomeSession session, EndpointGrantMessage message) {
        if (message.hasDescription()) {
            EndpointId endpoint = new EndpointId(message.getEndpointId());
            DataCentreId dataCentre = new DataCentreId(message.getDataCentre());
            EndpointDescription description = EndpointCodec.toDescription(message.getDescription());
            session.endpointsByHandle()
                    .put(
                            message.getHandle(),
                            new HomeSession.KnownEndpoint(
                                    endpoint, message.getDescriptionSequence()));
            creditsByEndpoint
                    .computeIfAbsent(endpoint, key -> new EndpointCredits(key, totalStarted))
                    .updateDescription(dataCentre, description);
        }
        HomeSession.KnownEndpoint knownEndpoint =
                session.endpointsByHandle().get(message.getHandle());
        return knownEndpoint == null ? null : creditsByEndpoint.get(knownEndpoint.endpoint());
    }

    private void revoke(NodeId from, HomeSession session, int handle) {
        HomeSession.KnownEndpoint knownEndpoint = session.endpointsByHandle().get(handle);
        if (knownEndpoint != null && creditsByEndpoint.containsKey(knownEndpoint.endpoint())) {
            creditsByEndpoint.get(knownEndpoint.endpoint()).discard(from);
        }
    }

    private boolean hasUnmetDemand(HomeSession session) {
        for (HomeSession.KnownEndpoint knownEndpoint : session.endpointsByHandle().values()) {
            EndpointCredits credits = creditsByEndpoint.get(knownEndpoint.endpoint());
            if (credits != null && credits.hasUnmetDemand()) {
                return true;
            }
        }
        return false;
    }

    private void removeSilent(long nowMs) {
        long silenceMs = REMOVE_AFTER_SILENT_LEASES * settings.leaseMs();
        creditsByEndpoint
                .values()
                .removeIf(
                        credits ->
                                credits.inFlight() == 0
                                        && nowMs - credits.loadReceivedMs() > silenceMs);
        homeSessions.values().removeIf(session -> nowMs - session.lastSentMs() > silenceMs);
        for (HomeSession session : homeSessions.values()) {
            session.endpointsByHandle()
                    .values()
                    .removeIf(
                            knownEndpoint ->
                                    !creditsByEndpoint.containsKey(knownEndpoint.endpoint()));
        }
    }

    private synchronized void release(EndpointCredits credits) {
        credits.finish();
    }

    private synchronized boolean isLeaseValid(long leaseEndMs) {
        return time.monotonicMs() < leaseEndMs;
    }

    /** Uses one credit of this pool until it is released. */
    private final class PoolPermit implements CreditPermit {

        private final EndpointCredits credits;
        private final long incarnation;
        private final long leaseEndMs;
        private boolean released;

        private PoolPermit(EndpointCredits credits) {
            this.credits = credits;
            this.incarnation = credits.incarnation();
            this.leaseEndMs = credits.leaseEndMs();
        }

        @Override
        public EndpointId endpoint() {
            return credits.endpoint();
        }

        @Override
        public long endpointIncarnation() {
            return incarnation;
        }

        @Override
        public synchronized boolean maySend() {
            return !released && isLeaseValid(leaseEndMs);
        }

        @Override
        public void release() {
            synchronized (this) {
                if (released) {
                    return;
                }
                released = true;
            }
            DefaultCreditPool.this.release(credits);
        }
    }
}
