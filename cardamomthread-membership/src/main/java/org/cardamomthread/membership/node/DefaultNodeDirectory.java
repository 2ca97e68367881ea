package org.cardamomthread.membership.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.generated.DrainRecordMessage;
import org.cardamomthread.membership.generated.Gossip;
import org.cardamomthread.membership.generated.NodeEntryMessage;
import org.cardamomthread.membership.generated.NodeEntryRequest;
import org.cardamomthread.membership.generated.PeerMessage;

/**
 * Keeps the directory by heartbeats, digests and pulled entries.
 *
 * <p>Each round writes a heartbeat to the nodes of the own data centre, up to a bound, and less
 * often a larger digest to one random node there and a few elsewhere, so that the cost of a node
 * does not grow with the number of nodes. A node judges silence on its own monotonic clock only.
 *
 * <p>Invariant: what is known of a node never goes back to an older incarnation or heartbeat. All
 * methods are synchronized; safe for use by several threads.
 */
public final class DefaultNodeDirectory implements NodeDirectory {

    private static final int MAX_PULLED_ENTRIES = 32;

    private final NodeDirectorySettings settings;
    private final TimeSource time;
    private final NodeTable table;
    private final DrainRegister drains = new DrainRegister();
    private final GossipPlan plan;
    private NodeEntry self;
    private long heartbeat;
    private long revision;
    private long highestRevision;

    /**
     * Creates a directory that knows its own node and the seeds.
     *
     * @param self this node, with an incarnation above that of its previous start
     * @param seeds nodes to contact first; may include this one
     * @param settings intervals and bounds
     * @param time the clock
     * @param random the source of random choices
     */
    public DefaultNodeDirectory(
            NodeEntry self,
            Collection<NodeEntry> seeds,
            NodeDirectorySettings settings,
            TimeSource time,
            RandomGenerator random) {
        if (self.incarnation() <= 0) {
            throw new IllegalArgumentException(
                    "incarnation of node " + self.id() + " must be positive; use the start time");
        }
        this.self = self;
        this.settings = settings;
        this.time = time;
        this.table = new NodeTable(self.id(), self.dataCentre(), settings);
        this.plan = new GossipPlan(table, settings, random);
        long nowMs = time.monotonicMs();
        seeds.forEach(seed -> table.putSeed(seed, nowMs));
    }

    @Override
    public synchronized List<OutgoingMessage> tick() {
        long nowMs = time.monotonicMs();
        List<OutgoingMessage> out = new ArrayList<>();
        List<NodeId> local = plan.localTargets(nowMs);
        List<NodeId> told = plan.localDigestTargets(nowMs);
        List<NodeId> remote = plan.remoteTargets(nowMs);
        if (local.isEmpty() && told.isEmpty() && remote.isEmpty()) {
            return out;
        }
        heartbeat++;
        if (!local.isEmpty()) {
            addAll(out, local, GossipCodec.gossip(ownDigest(), highestRevision, List.of()));
        }
        if (!told.isEmpty()) {
            addAll(out, told, digestGossip(plan.digestsForLocal(nowMs)));
        }
        if (!remote.isEmpty()) {
            addAll(out, remote, digestGossip(plan.digests(nowMs)));
        }
        table.forgetSilent(nowMs);
        return out;
    }

    @Override
    public synchronized List<OutgoingMessage> receive(NodeId from, PeerMessage message) {
        return switch (message.getContentCase()) {
            case GOSSIP -> receiveGossip(from, message.getGossip());
            case NODE_ENTRY_REQUEST -> answerRequest(from, message.getNodeEntryRequest());
            case NODE_ENTRIES -> receiveEntries(message.getNodeEntries().getEntriesList());
            case DRAIN_RECORDS -> receiveDrains(from, message.getDrainRecords().getRecordsList());
            default ->
                    throw new IllegalArgumentException(
                            "message "
                                    + message.getContentCase()
                                    + " is not for the directory; ask NodeDirectory.handles first");
        };
    }

    @Override
    public synchronized List<OutgoingMessage> leave() {
        self = self.withLeaving();
        long nowMs = time.monotonicMs();
        List<OutgoingMessage> out = new ArrayList<>();
        PeerMessage message = GossipCodec.entries(List.of(self));
        for (NodeRecord record : table.all()) {
            if (table.isLocal(record) && table.state(record, nowMs) != NodeState.LEFT) {
                out.add(new OutgoingMessage(record.entry().id(), message));
            }
        }
        addAll(out, plan.randomRemote(nowMs, settings.localFanOut()), message);
        return out;
    }

    @Override
    public synchronized void setRevisionInForce(long newRevision) {
        if (newRevision < revision) {
            throw new IllegalArgumentException(
                    "revision "
                            + newRevision
                            + " must not be below "
                            + revision
                            + ", which is already in force");
        }
        revision = newRevision;
        highestRevision = Math.max(highestRevision, newRevision);
    }

    @Override
    public synchronized long highestRevision() {
        return highestRevision;
    }

    @Override
    public synchronized void setReplicationHints(boolean voter, Optional<NodeId> leaderHint) {
        if (self.voter() != voter || !self.leaderHint().equals(leaderHint)) {
            self = self.withHints(voter, leaderHint);
        }
    }

    @Override
    public synchronized NodeEntry self() {
        return self;
    }

    @Override
    public synchronized Collection<NodeView> others() {
        long nowMs = time.monotonicMs();
        return table.all().stream().map(record -> view(record, nowMs)).toList();
    }

    @Override
    public synchronized Optional<NodeView> find(NodeId id) {
        long nowMs = time.monotonicMs();
        return table.find(id).map(record -> view(record, nowMs));
    }

    @Override
    public synchronized List<NodeId> usableNodes(DataCentreId dataCentre) {
        long nowMs = time.monotonicMs();
        Set<NodeId> usable = new TreeSet<>();
        if (self.dataCentre().equals(dataCentre) && !self.leaving()) {
            usable.add(self.id());
        }
        for (NodeRecord record : table.all()) {
            NodeState state = table.state(record, nowMs);
            boolean counts = state == NodeState.ALIVE || state == NodeState.SUSPECT;
            if (counts && record.entry().dataCentre().equals(dataCentre)) {
                usable.add(record.entry().id());
            }
        }
        return List.copyOf(usable);
    }

    @Override
    public synchronized List<DataCentreId> dataCentres() {
        Set<DataCentreId> found = new TreeSet<>();
        found.add(self.dataCentre());
        table.all().forEach(record -> found.add(record.entry().dataCentre()));
        return List.copyOf(found);
    }

    @Override
    public synchronized DrainRecord setDrain(DataCentreId dataCentre, boolean out) {
        return drains.set(dataCentre, out);
    }

    @Override
    public synchronized void joinDrain(DrainRecord record) {
        drains.join(record);
    }

    @Override
    public synchronized List<DrainRecord> drainRecords() {
        return drains.records();
    }

    @Override
    public synchronized boolean isDrained(DataCentreId dataCentre) {
        return drains.record(dataCentre).map(DrainRecord::out).orElse(false);
    }

    @Override
    public synchronized Set<NodeId> drainConfirmedBy(DataCentreId dataCentre) {
        Set<NodeId> confirmed = new HashSet<>(drains.confirmedBy(dataCentre));
        if (drains.record(dataCentre).isPresent()) {
            confirmed.add(self.id());
        }
        return confirmed;
    }

    @Override
    public synchronized Set<NodeId> drainUnconfirmedBy(DataCentreId dataCentre) {
        Set<NodeId> unconfirmed = new TreeSet<>();
        if (drains.record(dataCentre).isEmpty()) {
            return unconfirmed;
        }
        long nowMs = time.monotonicMs();
        for (NodeRecord record : table.all()) {
            if (table.state(record, nowMs) != NodeState.LEFT) {
                unconfirmed.add(record.entry().id());
            }
        }
        unconfirmed.removeAll(drains.confirmedBy(dataCentre));
        return unconfirmed;
    }

    private List<OutgoingMessage> receiveGossip(NodeId from, Gossip gossip) {
        long nowMs = time.monotonicMs();
        highestRevision = Math.max(highestRevision, gossip.getHighestRevision());
        List<Long> pulled = new ArrayList<>();
        NodeDigest sender = GossipCodec.sender(from, gossip);
        boolean joins = table.find(sender.key()).isEmpty();
        take(sender, pulled, nowMs);
        for (NodeDigest digest : GossipCodec.digests(gossip)) {
            take(digest, pulled, nowMs);
        }
        List<OutgoingMessage> out = new ArrayList<>();
        if (joins) {
            out.add(new OutgoingMessage(from, digestGossip(plan.digests(nowMs))));
        }
        if (!pulled.isEmpty()) {
            out.add(new OutgoingMessage(from, request(pulled)));
        }
        if (sender.drainDigest() != drains.digest()) {
            out.add(new OutgoingMessage(from, GossipCodec.drainRecords(drains.records())));
        }
        return out;
    }

    private void take(NodeDigest digest, List<Long> pulled, long nowMs) {
        if (digest.key() == NodeDigest.keyOf(self.id())) {
            return;
        }
        Optional<NodeRecord> known = table.find(digest.key());
        if (known.isEmpty()) {
            addPulled(digest.key(), pulled);
            return;
        }
        NodeRecord record = known.get();
        long incarnationBefore = record.incarnation();
        if (!record.advance(digest, nowMs)) {
            return;
        }
        if (record.incarnation() != incarnationBefore) {
            drains.forgetConfirmations(record.entry().id());
        }
        drains.confirm(record.entry().id(), digest.drainDigest());
        highestRevision = Math.max(highestRevision, digest.revision());
        if (record.hasStaleEntry()) {
            addPulled(digest.key(), pulled);
        }
    }

    private static void addPulled(long key, List<Long> pulled) {
        if (pulled.size() < MAX_PULLED_ENTRIES) {
            pulled.add(key);
        }
    }

    private static PeerMessage request(List<Long> keys) {
        return PeerMessage.newBuilder()
                .setNodeEntryRequest(NodeEntryRequest.newBuilder().addAllKeys(keys))
                .build();
    }

    private List<OutgoingMessage> answerRequest(NodeId from, NodeEntryRequest request) {
        List<NodeEntry> entries = new ArrayList<>();
        for (long key : request.getKeysList()) {
            if (key == NodeDigest.keyOf(self.id())) {
                entries.add(self);
            } else {
                table.find(key).map(NodeRecord::entry).ifPresent(entries::add);
            }
        }
        if (entries.isEmpty()) {
            return List.of();
        }
        return List.of(new OutgoingMessage(from, GossipCodec.entries(entries)));
    }

    private List<OutgoingMessage> receiveEntries(List<NodeEntryMessage> messages) {
        long nowMs = time.monotonicMs();
        for (NodeEntryMessage message : messages) {
            table.put(GossipCodec.entry(message), nowMs);
        }
        return List.of();
    }

    private List<OutgoingMessage> receiveDrains(NodeId from, List<DrainRecordMessage> messages) {
        List<DrainRecord> received = messages.stream().map(GossipCodec::drainRecord).toList();
        received.forEach(drains::join);
        if (received.containsAll(drains.records())) {
            return List.of();
        }
        return List.of(new OutgoingMessage(from, GossipCodec.drainRecords(drains.records())));
    }

    private PeerMessage digestGossip(List<NodeDigest> digests) {
        return GossipCodec.gossip(ownDigest(), highestRevision, digests);
    }

    private NodeDigest ownDigest() {
        return new NodeDigest(
                NodeDigest.keyOf(self.id()),
                self.incarnation(),
                heartbeat,
                self.entrySequence(),
                revision,
                drains.digest());
    }

    private NodeView view(NodeRecord record, long nowMs) {
        long silentMs = nowMs - record.lastHeardMs();
        return new NodeView(
                record.entry(), table.state(record, nowMs), record.revision(), silentMs);
    }

    private static void addAll(List<OutgoingMessage> out, List<NodeId> to, PeerMessage message) {
        to.forEach(target -> out.add(new OutgoingMessage(target, message)));
    }
}
