package org.cardamomthread.daemon.capacity;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.generated.NoticeBatch;
import org.cardamomthread.daemon.generated.NoticeMessage;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the platform for reclaim notices and distributes them to the nodes that are home to the
 * affected endpoints.
 *
 * <p>Two nodes per data centre poll the platform, so that its load does not grow with the number of
 * nodes. Each of them periodically resends the current notices to the nodes of its data centre, so
 * that a lost message or a new home is made up for at the next resend. Runs on the control thread.
 */
public final class ReclaimNoticePoller {

    /** The topic of reclaim notices. */
    public static final PeerTopic TOPIC = new PeerTopic(7, "notices");

    private static final Logger LOGGER = LoggerFactory.getLogger(ReclaimNoticePoller.class);
    private static final int POLLING_NODES_PER_DATA_CENTRE = 2;
    private static final int POLLS_PER_REBROADCAST = 4;

    private final PlatformClient platform;
    private final ReclaimNoticeRegistry registry;
    private final NodeDirectory directory;
    private final PeerTransport transport;
    private final ControlThread control;
    private long lastSequence;
    private int pollCount;

    /**
     * Creates a poller that does not run yet.
     *
     * @param platform the platform's API
     * @param registry stores the notices
     * @param directory the nodes
     * @param transport the transport to other nodes
     * @param control runs the polls
     */
    public ReclaimNoticePoller(
            PlatformClient platform,
            ReclaimNoticeRegistry registry,
            NodeDirectory directory,
            PeerTransport transport,
            ControlThread control) {
        this.platform = platform;
        this.registry = registry;
        this.directory = directory;
        this.transport = transport;
        this.control = control;
    }

    /**
     * Starts to receive notices from other nodes, and to poll the platform whenever this node is
     * one of the polling nodes.
     *
     * @param intervalMs milliseconds between two polls
     */
    public void start(long intervalMs) {
        transport.register(TOPIC, this::handleBatch);
        control.scheduleWithFixedDelay(intervalMs, this::poll);
    }

    private void poll() {
        if (!isPollingNode()) {
            return;
        }
        platform.listNotices(lastSequence)
                .whenComplete((page, failure) -> control.execute(() -> handlePage(page, failure)));
    }

    private boolean isPollingNode() {
        NodeId self = directory.self().id();
        List<NodeId> nodes = new ArrayList<>(directory.usableNodes(directory.self().dataCentre()));
        for (int rank = 0; rank < POLLING_NODES_PER_DATA_CENTRE; rank++) {
            Optional<NodeId> chosen = RendezvousHash.choose("platform", nodes, NodeId::value);
            if (chosen.filter(self::equals).isPresent()) {
                return true;
            }
            chosen.ifPresent(nodes::remove);
        }
        return false;
    }

    private void handlePage(PlatformClient.NoticePage page, Throwable failure) {
        if (failure != null) {
            LOGGER.info("cannot read reclaim notices from the platform: {}", failure.getMessage());
            return;
        }
        lastSequence = Math.max(lastSequence, page.lastSequence());
        page.notices().forEach(registry::add);
        pollCount++;
        if (!page.notices().isEmpty()) {
            LOGGER.info("received {} reclaim notices from the platform", page.notices().size());
            broadcast(page.notices());
        } else if (pollCount % POLLS_PER_REBROADCAST == 0) {
            broadcast(registry.list());
        }
    }

    private void broadcast(List<ReclaimNotice> notices) {
        if (notices.isEmpty()) {
            return;
        }
        NoticeBatch.Builder batch = NoticeBatch.newBuilder();
        notices.forEach(notice -> batch.addNotices(toMessage(notice)));
        byte[] payload = batch.build().toByteArray();
        for (NodeId node : directory.usableNodes(directory.self().dataCentre())) {
            transport.send(node, TOPIC, payload);
        }
    }

    private CompletionStage<byte[]> handleBatch(NodeId from, byte[] payload) {
        try {
            for (NoticeMessage message : NoticeBatch.parseFrom(payload).getNoticesList()) {
                registry.add(
                        new ReclaimNotice(
                                new EndpointId(message.getEndpointId()),
                                new DataCentreId(message.getDataCentre()),
                                message.getReclaimAtMs()));
            }
        } catch (InvalidProtocolBufferException | IllegalArgumentException failure) {
            LOGGER.warn("dropped malformed reclaim notices from node {}", from, failure);
        }
        return CompletableFuture.completedFuture(new byte[0]);
    }

    private static NoticeMessage toMessage(ReclaimNotice notice) {
        return NoticeMessage.newBuilder()
                .setEndpointId(notice.endpoint().value())
                .setDataCentre(notice.dataCentre().value())
                .setReclaimAtMs(notice.reclaimAtMs())
                .build();
    }
}
