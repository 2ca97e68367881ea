package org.cardamomthread.daemon.membership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.membership.OutgoingMessage;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.membership.generated.PeerMessage;
import org.cardamomthread.membership.home.EndpointHome;
import org.cardamomthread.membership.home.HomeEndpointStatus;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeEntry;
import org.cardamomthread.membership.node.NodeView;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the node directory, the endpoint home and the credit pool of a node and exchanges their
 * messages with other nodes.
 *
 * <p>The directory and the home are accessed only on the control thread. Thread-safe.
 */
public final class MembershipService {

    /** The topic of membership messages. */
    public static final PeerTopic TOPIC = new PeerTopic(1, "membership");

    private static final Logger LOGGER = LoggerFactory.getLogger(MembershipService.class);
    private static final long POOL_INTERVAL_MS = 50;
    private static final long HOME_INTERVAL_MS = 200;
    private static final byte[] EMPTY_RESPONSE = new byte[0];

    private final NodeDirectory directory;
    private final EndpointHome home;
    private final CreditPool creditPool;
    private final PeerTransport transport;
    private final ControlThread control;
    private final NodeAddressBook addressBook;
    private volatile Runnable creditListener = () -> {};

    /**
     * Creates a service that does not run yet.
     *
     * @param directory the directory of nodes
     * @param home the endpoints whose home this node is
     * @param creditPool the credits that this node holds as gateway
     * @param transport the transport to other nodes
     * @param control runs the periodic work and processes messages
     */
    public MembershipService(
            NodeDirectory directory,
            EndpointHome home,
            CreditPool creditPool,
            PeerTransport transport,
            ControlThread control) {
        this.directory = directory;
        this.home = home;
        this.creditPool = creditPool;
        this.transport = transport;
        this.control = control;
        this.addressBook = new NodeAddressBook(transport);
    }

    /**
     * Sets the callback that runs whenever new credits may be available.
     *
     * @param listener the callback; must not block
     */
    public void setCreditListener(Runnable listener) {
        creditListener = listener;
    }

    /**
     * Starts to exchange heartbeats, grants and demands.
     *
     * @param heartbeatIntervalMs milliseconds between two rounds of heartbeats
     */
    public void start(long heartbeatIntervalMs) {
        transport.register(TOPIC, this::enqueueMessage);
        addressBook.update(directory.otherNodes());
        control.scheduleWithFixedDelay(heartbeatIntervalMs, () -> sendAll(directory.tick()));
        control.scheduleWithFixedDelay(
                heartbeatIntervalMs, () -> addressBook.update(directory.otherNodes()));
        control.scheduleWithFixedDelay(HOME_INTERVAL_MS, () -> sendAll(home.tick()));
        control.scheduleWithFixedDelay(POOL_INTERVAL_MS, this::tickPool);
    }

    /**
     * Tells the other nodes that this node is leaving, and blocks until the messages are handed to
     * the transport.
     */
    public void leave() {
        query(
                        () -> {
                            sendAll(directory.leave());
                            return null;
                        })
                .join();
    }

    /**
     * Processes an announcement of an endpoint.
     *
     * @param announcement the announcement
     * @return completes with the endpoint's home, or empty if no node is usable
     */
    public CompletableFuture<Optional<NodeEntry>> receiveAnnouncement(
            EndpointAnnouncement announcement) {
        return control.submit(
                () -> {
                    sendAll(home.receiveAnnouncement(announcement));
                    return home.homeOf(announcement.endpoint(), announcement.dataCentre())
                            .flatMap(this::findEntry);
                });
    }

    /**
     * Returns the endpoints whose home is this node.
     *
     * @return completes with a snapshot
     */
    public CompletableFuture<List<HomeEndpointStatus>> listEndpoints() {
        return query(
                () -> {
                    List<HomeEndpointStatus> statuses = new ArrayList<>();
                    for (EndpointId endpoint : home.endpoints()) {
                        home.status(endpoint).ifPresent(statuses::add);
                    }
                    return statuses;
                });
    }

    /**
     * Returns the other nodes.
     *
     * @return completes with a snapshot
     */
    public CompletableFuture<Collection<NodeView>> listNodes() {
        return query(() -> List.copyOf(directory.otherNodes()));
    }

    /**
     * Drains a data centre or returns it to service, on this node and, by gossip, on the nodes that
     * it reaches.
     *
     * @param dataCentre the data centre
     * @param drained true to drain it, false to return it to service
     */
    public void setDrained(DataCentreId dataCentre, boolean drained) {
        control.execute(() -> directory.setDrained(dataCentre, drained));
    }

    /**
     * Runs a query on the control thread.
     *
     * @param read the query; must not block
     * @param <T> the type of result
     * @return completes with the result
     */
    public <T> CompletableFuture<T> query(Supplier<T> read) {
        return control.submit(read);
    }

    private Optional<NodeEntry> findEntry(NodeId node) {
        NodeEntry self = directory.self();
        if (node.equals(self.id())) {
            return Optional.of(self);
        }
        return directory.find(node).map(NodeView::entry);
    }

    private void tickPool() {
        sendAll(creditPool.tick());
        creditListener.run();
    }

    private CompletionStage<byte[]> enqueueMessage(NodeId from, byte[] payload) {
        control.execute(() -> processMessage(from, payload));
        return CompletableFuture.completedFuture(EMPTY_RESPONSE);
    }

    private void processMessage(NodeId from, byte[] payload) {
        PeerMessage message;
        try {
            message = PeerMessage.parseFrom(payload);
        } catch (InvalidProtocolBufferException failure) {
            LOGGER.warn("dropped a malformed membership message from node {}", from, failure);
            return;
        }
        if (NodeDirectory.handles(message)) {
            sendAll(directory.receive(from, message));
        } else if (EndpointHome.handles(message)) {
            sendAll(home.receive(from, message));
        } else if (CreditPool.handles(message)) {
            creditPool.receive(from, message);
            creditListener.run();
        }
    }

    private void sendAll(List<OutgoingMessage> messages) {
        for (OutgoingMessage outgoing : messages) {
            transport.send(outgoing.to(), TOPIC, outgoing.message().toByteArray());
        }
    }
}
