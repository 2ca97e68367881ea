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
import org.cardamomthread.membership.generated.CreditDemand;
import org.cardamomthread.membership.generated.CreditGrant;
import org.cardamomthread.membership.generated.EndpointDemandMessage;
import org.cardamomthread.membership.generated.EndpointGrantMessage;
import org.cardamomthread.membership.generated.NamedInFlight;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.node.NodeDirectory;

/**
 * Keeps the credits by demands to a bounded subset of the homes.
 *
 * <p>Invariant: no request starts under a lease that has run out on the local clock, counted from
 * before the demand was sent. All methods are synchronized; safe for use by several threads.
 */
public final class DefaultCreditPool implements CreditPool {

    /** An endpoint without requests in flight is dropped after so many leases of silence. */
    private static final int FORGET_AFTER_LEASES = 5;

    private final NodeDirectory directory;
    private final CreditPoolSettings settings;
    private final TimeSource time;
    private final Map<NodeId, HomeLink> links = new HashMap<>();
    private final TreeMap<EndpointId, EndpointSlot> slots = new TreeMap<>();
    private Set<NodeId> subset = Set.of();
    private long nextSubsetMs = Long.MIN_VALUE;
    private long nextSequence = 1;
    private long startedInAll;

    /**
     * Creates a pool without credits.
     *
     * @param directory the nodes, this one included
     * @param settings intervals and bounds
     * @param time the clock
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
        forgetSilent(nowMs);
        Set<NodeId> homes = homes(nowMs);
        List<OutgoingMessage> out = new ArrayList<>();
        for (NodeId home : homes) {
            HomeLink link = links.computeIfAbsent(home, key -> new HomeLink(settings.leaseMs()));
            boolean urgent = isStarved(link);
            if (link.isDue(urgent, settings, nowMs)) {
                out.add(new OutgoingMessage(home, demand(link, urgent, nowMs)));
            }
        }
        return out;
    }

    @Override
    public synchronized void receive(NodeId from, PeerMessage message) {
        switch (message.getContentCase()) {
            case CREDIT_GRANT -> apply(from, message.getCreditGrant());
            case CREDIT_REVOCATION -> {
                HomeLink link = links.get(from);
                boolean known =
                        link != null
                                && link.homeIncarnation()
                                        == message.getCreditRevocation().getHomeIncarnation();
                if (known) {
                    message.getCreditRevocation()
                            .getHandlesList()
                            .forEach(handle -> revoke(from, link, handle));
                }
            }
            default ->
                    throw new IllegalArgumentException(
                            "message "
                                    + message.getContentCase()
                                    + " is not for the pool; ask CreditPool.handles first");
        }
    }

    @Override
    public synchronized List<AvailableEndpoint> endpoints() {
        long nowMs = time.monotonicMs();
        return slots.values().stream()
                .filter(EndpointSlot::isDescribed)
                .map(slot -> slot.view(nowMs))
                .toList();
    }

    @Override
    public synchronized Optional<CreditHold> tryAcquire(EndpointId endpoint) {
        EndpointSlot slot = slots.get(endpoint);
        if (slot == null || !slot.tryStart(time.monotonicMs())) {
            return Optional.empty();
        }
        startedInAll++;
        return Optional.of(new Hold(slot));
    }

    @Override
    public synchronized void recordShortage(EndpointId endpoint) {
        EndpointSlot slot = slots.get(endpoint);
        if (slot != null) {
            slot.refuse();
        }
    }

    @Override
    public synchronized void setWaiting(EndpointId endpoint, int waiting) {
        EndpointSlot slot = slots.get(endpoint);
        if (slot != null) {
            slot.setWaiting(waiting);
        }
    }

    @Override
    public synchronized void dropCredits(EndpointId endpoint) {
        EndpointSlot slot = slots.get(endpoint);
        if (slot != null) {
            slot.drop();
        }
    }

    /** Returns the subset, and the homes of endpoints with requests in flight whatever it says. */
    private Set<NodeId> homes(long nowMs) {
        if (nowMs >= nextSubsetMs) {
            nextSubsetMs = nowMs + settings.demandIntervalMs();
            subset = Set.copyOf(HomeSubset.choose(directory, settings));
        }
        Set<NodeId> homes = new TreeSet<>(subset);
        for (EndpointSlot slot : slots.values()) {
            if (slot.inFlight() > 0 && slot.home() != null) {
                homes.add(slot.home());
            }
        }
        return homes;
    }

    private PeerMessage demand(HomeLink link, boolean urgent, long nowMs) {
        long sequence = nextSequence++;
        CreditDemand.Builder demand =
                CreditDemand.newBuilder()
                        .setGatewayIncarnation(directory.self().incarnation())
                        .setSequence(sequence)
                        .setClosedSequence(link.close(nowMs))
                        .setAppliedSequence(link.appliedSequence())
                        .setHomeIncarnation(link.homeIncarnation());
        Set<EndpointId> handled = new HashSet<>();
        link.handles()
                .forEach(
                        (handle, value) -> {
                            EndpointSlot slot = slots.get(value.endpoint());
                            if (slot != null) {
                                handled.add(value.endpoint());
                                demand.addEndpoints(wanted(handle, value, slot));
                                slot.demanded();
                            }
                        });
        for (EndpointSlot slot : slots.values()) {
            if (slot.inFlight() > 0 && !handled.contains(slot.endpoint())) {
                demand.addNamed(named(slot));
            }
        }
        link.sent(sequence, urgent, nowMs);
        return PeerMessage.newBuilder().setCreditDemand(demand).build();
    }

    private static EndpointDemandMessage wanted(
            int handle, HomeLink.Handle value, EndpointSlot slot) {
        return EndpointDemandMessage.newBuilder()
                .setHandle(handle)
                .setStarted(slot.started())
                .setFinished(slot.finished())
                .setWaiting(slot.waiting())
                .setHeadroom(slot.headroom())
                .setDescriptionSequence(value.descriptionSequence())
                .build();
    }

    private static NamedInFlight named(EndpointSlot slot) {
        return NamedInFlight.newBuilder()
                .setEndpointId(slot.endpoint().value())
                .setStarted(slot.started())
                .setFinished(slot.finished())
                .build();
    }

    private void apply(NodeId from, CreditGrant grant) {
        long nowMs = time.monotonicMs();
        HomeLink link = links.get(from);
        if (link == null) {
            return;
        }
        Optional<Long> sentMs =
                link.apply(grant.getDemandSequence(), grant.getHomeIncarnation(), nowMs);
        if (sentMs.isEmpty()) {
            return;
        }
        long leaseEndMs = sentMs.get() + Math.min(settings.leaseMs(), grant.getLeaseMs());
        Set<EndpointId> named = new HashSet<>();
        for (EndpointGrantMessage message : grant.getEndpointsList()) {
            EndpointSlot slot = slot(link, message);
            if (slot != null) {
                named.add(slot.endpoint());
                slot.updateLoad(EndpointCodec.load(message.getLoad()), nowMs);
                long incarnation = message.getEndpointIncarnation();
                slot.grant(from, incarnation, message.getLimit(), leaseEndMs, nowMs);
            }
        }
        slots.values().stream()
                .filter(slot -> !named.contains(slot.endpoint()))
                .forEach(slot -> slot.drop(from));
    }

    private EndpointSlot slot(HomeLink link, EndpointGrantMessage message) {
        if (message.hasDescription()) {
            EndpointId endpoint = new EndpointId(message.getEndpointId());
            link.handles()
                    .put(
                            message.getHandle(),
                            new HomeLink.Handle(endpoint, message.getDescriptionSequence()));
            slots.computeIfAbsent(endpoint, key -> new EndpointSlot(key, startedInAll))
                    .describe(
                            new DataCentreId(message.getDataCentre()),
                            EndpointCodec.description(message.getDescription()));
        }
        HomeLink.Handle handle = link.handles().get(message.getHandle());
        return handle == null ? null : slots.get(handle.endpoint());
    }

    private void revoke(NodeId from, HomeLink link, int handle) {
        HomeLink.Handle known = link.handles().get(handle);
        if (known != null && slots.containsKey(known.endpoint())) {
            slots.get(known.endpoint()).drop(from);
        }
    }

    private boolean isStarved(HomeLink link) {
        for (HomeLink.Handle handle : link.handles().values()) {
            EndpointSlot slot = slots.get(handle.endpoint());
            if (slot != null && slot.isStarved()) {
                return true;
            }
        }
        return false;
    }

    private void forgetSilent(long nowMs) {
        long silenceMs = FORGET_AFTER_LEASES * settings.leaseMs();
        slots.values()
                .removeIf(
                        slot -> slot.inFlight() == 0 && nowMs - slot.loadReceivedMs() > silenceMs);
        links.values().removeIf(link -> nowMs - link.lastSentMs() > silenceMs);
        for (HomeLink link : links.values()) {
            link.handles().values().removeIf(handle -> !slots.containsKey(handle.endpoint()));
        }
    }

    private synchronized void release(EndpointSlot slot) {
        slot.finish();
    }

    private synchronized boolean isRunning(long leaseEndMs) {
        return time.monotonicMs() < leaseEndMs;
    }

    /** Counts one request of this pool. */
    private final class Hold implements CreditHold {

        private final EndpointSlot slot;
        private final long incarnation;
        private final long leaseEndMs;
        private boolean released;

        private Hold(EndpointSlot slot) {
            this.slot = slot;
            this.incarnation = slot.incarnation();
            this.leaseEndMs = slot.leaseEndMs();
        }

        @Override
        public EndpointId endpoint() {
            return slot.endpoint();
        }

        @Override
        public long endpointIncarnation() {
            return incarnation;
        }

        @Override
        public synchronized boolean mayStart() {
            return !released && isRunning(leaseEndMs);
        }

        @Override
        public void release() {
            synchronized (this) {
                if (released) {
                    return;
                }
                released = true;
            }
            DefaultCreditPool.this.release(slot);
        }
    }
}
