package org.cardamomthread.daemon.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.generated.CacheEventBatch;
import org.cardamomthread.daemon.generated.CacheEventEntry;
import org.cardamomthread.daemon.generated.EndpointCacheEvents;
import org.cardamomthread.membership.endpoint.CacheEvent;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.home.AnnouncementListener;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.policy.routing.PrefixIndex;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the cache events of this home's endpoints to the gateways that use it, and applies those
 * received to the prefix index.
 *
 * <p>Delivery is best effort: the prefix index treats a gap in the sequence as uncertainty, and
 * gateways also know what they sent themselves. Invariant: at most {@value #MAX_BLOCKS_PER_BATCH}
 * block hashes are sent per batch; the events that exceed it are dropped. Thread-safe.
 */
public final class CacheEventPublisher implements AnnouncementListener {

    /** The topic of cache events. */
    public static final PeerTopic TOPIC = new PeerTopic(6, "cache-events");

    private static final Logger LOGGER = LoggerFactory.getLogger(CacheEventPublisher.class);
    private static final long INTERVAL_MS = 500;
    private static final int MAX_BLOCKS_PER_BATCH = 500;
    private static final int MAX_RECEIVERS = 16;

    private final PrefixIndex index;
    private final NodeDirectory directory;
    private final PeerTransport transport;
    private final ControlThread control;
    private final TimeSource timeSource;
    private final Map<EndpointId, EndpointCacheEvents.Builder> pendingEvents = new HashMap<>();
    private final Map<EndpointId, Long> knownIncarnations = new HashMap<>();
    private int pendingBlockCount;

    /**
     * Creates a publisher that does not run yet.
     *
     * @param index this node's index of the endpoints' prefix caches
     * @param directory the nodes
     * @param transport the transport to other nodes
     * @param control sends the batches
     * @param timeSource the node's clock
     */
    public CacheEventPublisher(
            PrefixIndex index,
            NodeDirectory directory,
            PeerTransport transport,
            ControlThread control,
            TimeSource timeSource) {
        this.index = index;
        this.directory = directory;
        this.transport = transport;
        this.control = control;
        this.timeSource = timeSource;
    }

    /** Starts to send and receive cache events. */
    public void start() {
        transport.register(TOPIC, this::handleBatch);
        control.scheduleWithFixedDelay(INTERVAL_MS, this::flush);
    }

    @Override
    public synchronized void onAnnouncement(EndpointAnnouncement announcement) {
        for (CacheEvent event : announcement.cacheEvents()) {
            if (pendingBlockCount + event.blocks().size() > MAX_BLOCKS_PER_BATCH) {
                return;
            }
            pendingBlockCount += event.blocks().size();
            pendingEvents
                    .computeIfAbsent(announcement.endpoint(), id -> createBuilder(announcement))
                    .addEvents(
                            CacheEventEntry.newBuilder()
                                    .setSequence(event.sequence())
                                    .setType(event.type())
                                    .addAllBlocks(event.blocks()));
        }
    }

    private static EndpointCacheEvents.Builder createBuilder(EndpointAnnouncement announcement) {
        return EndpointCacheEvents.newBuilder()
                .setEndpointId(announcement.endpoint().value())
                .setIncarnation(announcement.incarnation());
    }

    private void flush() {
        CacheEventBatch.Builder batch = CacheEventBatch.newBuilder();
        synchronized (this) {
            pendingEvents.values().forEach(batch::addEndpoints);
            pendingEvents.clear();
            pendingBlockCount = 0;
        }
        if (batch.getEndpointsCount() > 0) {
            byte[] payload = batch.build().toByteArray();
            listReceivers().forEach(node -> transport.send(node, TOPIC, payload));
        }
    }

    /**
     * Returns the nodes whose gateways use this home: its predecessors in the ring of its data
     * centre, itself included, and some nodes of other data centres.
     */
    private List<NodeId> listReceivers() {
        NodeId self = directory.self().id();
        List<NodeId> ring = directory.usableNodes(directory.self().dataCentre());
        List<NodeId> receivers = new ArrayList<>();
        int position = Math.max(0, ring.indexOf(self));
        for (int step = 0; step < Math.min(ring.size(), MAX_RECEIVERS / 2); step++) {
            receivers.add(ring.get(Math.floorMod(position - step, ring.size())));
        }
        directory.otherNodes().stream()
                .map(node -> node.entry())
                .filter(entry -> !entry.dataCentre().equals(directory.self().dataCentre()))
                .map(entry -> entry.id())
                .sorted()
                .limit(MAX_RECEIVERS - receivers.size())
                .forEach(receivers::add);
        return receivers;
    }

    private CompletionStage<byte[]> handleBatch(NodeId from, byte[] payload) {
        try {
            CacheEventBatch.parseFrom(payload).getEndpointsList().forEach(this::apply);
        } catch (InvalidProtocolBufferException | IllegalArgumentException failure) {
            LOGGER.warn("dropped malformed cache events from node {}", from, failure);
        }
        return CompletableFuture.completedFuture(new byte[0]);
    }

    private synchronized void apply(EndpointCacheEvents events) {
        EndpointId endpoint = new EndpointId(events.getEndpointId());
        Long previousIncarnation = knownIncarnations.put(endpoint, events.getIncarnation());
        if (previousIncarnation != null && previousIncarnation != events.getIncarnation()) {
            index.remove(endpoint);
        }
        long nowMs = timeSource.monotonicMs();
        for (CacheEventEntry entry : events.getEventsList()) {
            long[] blocks = new long[entry.getBlocksCount()];
            for (int i = 0; i < blocks.length; i++) {
                blocks[i] = entry.getBlocks(i);
            }
            var type =
                    org.cardamomthread.policy.routing.CacheEvent.Type.valueOf(
                            entry.getType().toUpperCase(Locale.ROOT));
            index.apply(
                    endpoint,
                    new org.cardamomthread.policy.routing.CacheEvent(
                            entry.getSequence(), type, blocks),
                    nowMs);
        }
    }
}
