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
 * Maintains the node directory by a gossip protocol of heartbeats, digests and entry requests.
 *
 * <p>Each heartbeat round sends a heartbeat to a bounded number of nodes of the local data centre.
 * Less often, a digest round sends the state of several nodes to one random local node and a few
 * nodes of other data centres. The cost per node therefore does not grow with the cluster size. A
 * receiver requests the full entry of a node only if it has none or an outdated one. Silence is
 * measured on the local monotonic clock only.
 *
 * <p>Invariant: the state known of a node never reverts to an older incarnation or heartbeat. All
 * methods are synchronized, so the directory is thread-safe.
 */
public final class DefaultNodeDirectory implements NodeDirectory {

    /** The maximum number of node entries requested in response to one gossip message. */
    private static final int MAX_REQUESTED_ENTRIES = 32;

    private final NodeDirectorySettings settings;
    private final TimeSource time;
    private final NodeTable table;
    private final DrainRegister drainRegister = new DrainRegister();
    private final GossipPlanner planner;
    private NodeEntry self;
    private long heartbeat;
    private long activeRevision;
    private long highestRevision;

    /**
     * Creates a directory that knows only this node and the seeds.
     *
     * @param self the entry of this node, whose incarnation must exceed that of its previous start
     * @param seeds the nodes to contact first, which may include this node
     * @param settings the gossip intervals and limits
     * @param time the clock that measures silence and schedules the rounds
     * @param random the random source for the choice of gossip targets
     */
    public DefaultNodeDirectory(
            NodeEntry self,
            Collection<NodeEntry> seeds,
            NodeDirectorySettings settings,
            TimeSource time,
            RandomGenerator random) {
        if (self.incarnation() <= 0) {
            throw new IllegalArgumentException(
                    "incarnation of node "
                            + self.id()
                            + " must be positive; use the start time of the process");
        }
        this.self = self;
        this.settings = settings;
        this.time = time;
        this.table = new NodeTable(self.id(), self.dataCentre(), settings);
        this.planner = new GossipPlanner(table, settings, random);
        long nowMs = time.monotonicMs();
        seeds.forEach(seed -> table.putSeed(seed, nowMs));
    }

    @Override
    public synchronized List<OutgoingMessage> tick() {
        long nowMs = time.monotonicMs();
        List<OutgoingMessage> out = new ArrayList<>();
        List<NodeId> heartbeatTargets = planner.heartbeatTargets(nowMs);
        List<NodeId> localDigestTargets = planner.localDigestTargets(nowMs);
        List<NodeId> remoteDigestTargets = planner.remoteDigestTargets(nowMs);
        if (heartbeatTargets.isEmpty()
                && localDigestTargets.isEmpty()
                && remoteDigestTargets.isEmpty()) {
            return out;
        }
        heartbeat++;
        if (!heartbeatTargets.isEmpty()) {
            addForEach(
                    out,
                    heartbeatTargets,
                    GossipCodec.gossipMessage(ownDigest(), highestRevision, List.of()));
        }
        if (!localDigestTargets.isEmpty()) {
            addForEach(out, localDigestTargets, digestGossip(planner.digestsForLocal(nowMs)));
        }
        if (!remoteDigestTargets.isEmpty()) {
            addForEach(out, remoteDigestTargets, digestGossip(planner.digestsForRemote(nowMs)));
        }
        table.removeSilent(nowMs);
        return out;
    }

    @Override
    public synchronized List<OutgoingMessage> receive(NodeId from, PeerMessage message) {
        return switch (message.getContentCase()) {
            case GOSSIP -> receiveGossip(from, message.getGossip());
            case NODE_ENTRY_REQUEST -> receiveEntryRequest(from, message.getNodeEntryRequest());
            case NODE_ENTRIES -> receiveEntries(message.getNodeEntries().getEntriesList());
            case DRAIN_RECORDS ->
                    receiveDrainRecords(from, message.getDrainRecords().getRecordsList());
            default ->
                    throw new IllegalArgumentException(
                            "message "
                                    + message.getContentCase()
                                    + " is not handled by the node directory; "
                                    + "check NodeDirectory.handles first");
        };
    }

    @Override
    public synchronized List<OutgoingMessage> leave() {
        self = self.withLeaving();
        long nowMs = time.monotonicMs();
        List<OutgoingMessage> out = new ArrayList<>();
        PeerMessage message = GossipCodec.entriesMessage(List.of(self));
        for (NodeRecord record : table.all()) {
            if (table.isLocal(record) && table.state(record, nowMs) != NodeState.LEFT) {
                out.add(new OutgoingMessage(record.entry().id(), message));
            }
        }
        addForEach(out, planner.randomRemoteNodes(nowMs, settings.localFanOut()), message);
        return out;
    }

    @Override
    public synchronized void setActiveRevision(long newRevision) {
        if (newRevision < activeRevision) {
            throw new IllegalArgumentException(
                    "configuration revision "
                            + newRevision
                            + " must not be below "
                            + activeRevision
                            + ", which is already active");
        }
        activeRevision = newRevision;
        highestRevision = Math.max(highestRevision, newRevision);
    }

    @Override
    public synchronized long highestRevision() {
        return highestRevision;
    }

    @Override
    public synchronized void setReplicationHints(boolean voter, Optional<NodeId> leaderHint) {
        if (self.voter() != voter || !self.leaderHint().equals(leaderHint)) {
            self = self.withReplicationHints(voter, leaderHint);
        }
    }

    @Override
    public synchronized NodeEntry self() {
        return self;
    }

    @Override
    public synchronized Collection<NodeView> otherNodes() {
        long nowMs = time.monotonicMs();
        return table.all().stream().map(record -> viewOf(record, nowMs)).toList();
    }

    @Override
    public synchronized Optional<NodeView> find(NodeId id) {
        long nowMs = time.monotonicMs();
        return table.find(id).map(record -> viewOf(record, nowMs));
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
            boolean usableState = state == NodeState.ALIVE || state == NodeState.SUSPECT;
            if (usableState && record.entry().dataCentre().equals(dataCentre)) {
                usable.add(record.entry().id());
            }
        }
        return List.copyOf(usable);
    }

    @Override
    public synchronized List<DataCentreId> dataCentres() {
        Set<DataCentreId> dataCentres = new TreeSet<>();
        dataCentres.add(self.dataCentre());
        table.all().forEach(record -> dataCentres.add(record.entry().dataCentre()));
        return List.copyOf(dataCentres);
    }

    @Override
    public synchronized DrainRecord setDrained(DataCentreId dataCentre, boolean out) {
        return drainRegister.set(dataCentre, out);
    }

    @Override
    public synchronized void mergeDrainRecord(DrainRecord record) {
        drainRegister.merge(record);
    }

    @Override
    public synchronized List<DrainRecord> drainRecords() {
        return drainRegister.records();
    }

    @Override
    public synchronized boolean isDrained(DataCentreId dataCentre) {
        return drainRegister.record(dataCentre).map(DrainRecord::drained).orElse(false);
    }

    @Override
    public synchronized Set<NodeId> drainConfirmedBy(DataCentreId dataCentre) {
        Set<NodeId> confirmed = new HashSet<>(drainRegister.confirmedBy(dataCentre));
        if (drainRegister.record(dataCentre).isPresent()) {
            confirmed.add(self.id());
        }
        return confirmed;
    }

    @Override
    public synchronized Set<NodeId> drainUnconfirmedBy(DataCentreId dataCentre) {
        Set<NodeId> unconfirmed = new TreeSet<>();
        if (drainRegister.record(dataCentre).isEmpty()) {
            return unconfirmed;
        }
        long nowMs = time.monotonicMs();
        for (NodeRecord record : table.all()) {
            if (table.state(record, nowMs) != NodeState.LEFT) {
                unconfirmed.add(record.entry().id());
            }
        }
        unconfirmed.removeAll(drainRegister.confirmedBy(dataCentre));
        return unconfirmed;
    }

    private List<OutgoingMessage> receiveGossip(NodeId from, Gossip gossip) {
        long nowMs = time.monotonicMs();
        highestRevision = Math.max(highestRevision, gossip.getHighestRevision());
        List<Long> requestedKeys = new ArrayList<>();
        NodeDigest sender = GossipCodec.toSenderDigest(from, gossip);
        boolean senderUnknown = table.find(sender.key()).isEmpty();
        applyDigest(sender, requestedKeys, nowMs);
        for (NodeDigest digest : GossipCodec.toDigests(gossip)) {
            applyDigest(digest, requestedKeys, nowMs);
        }
        List<OutgoingMessage> out = new ArrayList<>();
        if (senderUnknown) {
            out.add(new OutgoingMessage(from, digestGossip(planner.digestsForRemote(nowMs))));
        }
        if (!requestedKeys.isEmpty()) {
            out.add(new OutgoingMessage(from, entryRequest(requestedKeys)));
        }
        if (sender.drainDigest() != drainRegister.digest()) {
            out.add(
                    new OutgoingMessage(
                            from, GossipCodec.drainRecordsMessage(drainRegister.records())));
        }
        return out;
    }

    /** Merges a digest and notes the node's entry for request if it is missing or outdated. */
    private void applyDigest(NodeDigest digest, List<Long> requestedKeys, long nowMs) {
        if (digest.key() == NodeDigest.keyOf(self.id())) {
            return;
        }
        Optional<NodeRecord> known = table.find(digest.key());
        if (known.isEmpty()) {
            addRequestedKey(digest.key(), requestedKeys);
            return;
        }
        NodeRecord record = known.get();
        long previousIncarnation = record.incarnation();
        if (!record.applyDigest(digest, nowMs)) {
            return;
        }
        if (record.incarnation() != previousIncarnation) {
            drainRegister.removeConfirmations(record.entry().id());
        }
        drainRegister.confirmIfCurrent(record.entry().id(), digest.drainDigest());
        highestRevision = Math.max(highestRevision, digest.revision());
        if (record.hasStaleEntry()) {
            addRequestedKey(digest.key(), requestedKeys);
        }
    }

    private static void addRequestedKey(long key, List<Long> requestedKeys) {
        if (requestedKeys.size() < MAX_REQUESTED_ENTRIES) {
            requestedKeys.add(key);
        }
    }

    private static PeerMessage entryRequest(List<Long> keys) {
        return PeerMessage.newBuilder()
                .setNodeEntryRequest(NodeEntryRequest.newBuilder().addAllKeys(keys))
                .build();
    }

    private List<OutgoingMessage> receiveEntryRequest(NodeId from, NodeEntryRequest request) {
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
        return List.of(new OutgoingMessage(from, GossipCodec.entriesMessage(entries)));
    }

    private List<OutgoingMessage> receiveEntries(List<NodeEntryMessage> messages) {
        long nowMs = time.monotonicMs();
        for (NodeEntryMessage message : messages) {
            table.put(GossipCodec.toEntry(message), nowMs);
        }
        return List.of();
    }

    private List<OutgoingMessage> receiveDrainRecords(
            NodeId from, List<DrainRecordMessage> messages) {
        List<DrainRecord> received = messages.stream().map(GossipCodec::toDrainRecord).toList();
        received.forEach(drainRegister::merge);
        if (received.containsAll(drainRegister.records())) {
            return List.of();
        }
        return List.of(
                new OutgoingMessage(
                        from, GossipCodec.drainRecordsMessage(drainRegister.records())));
    }

    private PeerMessage digestGossip(List<NodeDigest> digests) {
        return GossipCodec.gossipMessage(ownDigest(), highestRevision, digests);
    }

    private NodeDigest ownDigest() {
        return new NodeDigest(
                NodeDigest.keyOf(self.id()),
                self.incarnation(),
                heartbeat,
                self.entrySequence(),
                activeRevision,
                drainRegister.digest());
    }

    private NodeView viewOf(NodeRecord record, long nowMs) {
        long silentMs = nowMs - record.lastHeardMs();
        return new NodeView(
                record.entry(), table.state(record, nowMs), record.revision(), silentMs);
    }

    private static void addForEach(
            List<OutgoingMessage> out, List<NodeId> targets, PeerMessage message) {
        targets.forEach(target -> out.add(new OutgoingMessage(target, message)));
    }
}
