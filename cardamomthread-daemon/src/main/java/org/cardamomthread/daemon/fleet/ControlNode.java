package org.cardamomthread.daemon.fleet;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.concurrent.LoopPauseDetector;
import org.cardamomthread.daemon.control.ControlGroups;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.control.VoterCounts;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.duty.AutoscalingController;
import org.cardamomthread.daemon.duty.ControllerLease;
import org.cardamomthread.daemon.duty.FencedPlatformClient;
import org.cardamomthread.daemon.duty.UsageReportController;
import org.cardamomthread.daemon.duty.VersionMoveController;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.http.ListenerBindException;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.registry.EndpointUpdateReplicator;
import org.cardamomthread.daemon.start.StartableNode;
import org.cardamomthread.daemon.view.DocumentServer;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.LeavingEndpointReports;
import org.cardamomthread.daemon.view.QuarantineServer;
import org.cardamomthread.daemon.view.QuotaPool;
import org.cardamomthread.daemon.view.ViewServer;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.TransportStartException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Assembles and runs a control node.
 *
 * <p>Invariant: the node votes only with a data folder that it has written itself. A node with an
 * empty folder learns the voters from other control nodes and joins as a new member, or waits until
 * a voter is gone. Thread-safe.
 */
final class ControlNode implements StartableNode {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlNode.class);

    /**
     * Margin added to the view lease, after which an unreachable gateway no longer uses its quota
     * shares.
     */
    private static final long PRESENCE_MARGIN_MS = 1_000;

    /** Well below the time in which a node that starts polls all others. */
    private static final long VOTER_UPDATE_INTERVAL_MS = 250;

    /**
     * More than a round trip: after a network failure the close of a connection arrives that much
     * behind the request before it.
     */
    private static final long CLOSE_DELAY_MS = 50;

    /** Time for open requests to finish before the node closes. */
    private static final long DRAIN_DELAY_MS = 300;

    private final NodeComponents components;
    private final PlatformDialect dialect;
    private final ControlThread controlThread = new ControlThread("control");
    private final TrafficReplica trafficReplica = new TrafficReplica();
    private final TrafficDocumentCache documentCache;
    private final ControlNodeDirectory directory;
    private final EndpointRegistry registry;
    private final GatewayReports gatewayReports;
    private final QuarantineServer quarantine;
    private final ViewServer viewServer;
    private final EndpointUpdateReplicator endpointUpdates;
    private final HttpServer controlServer;
    private final HttpServer metricsServer;
    private final Optional<FencedPlatformClient> platformClient;
    private volatile Optional<ControlGroups> groups = Optional.empty();

    ControlNode(NodeComponents components, PlatformDialect dialect) {
        this.components = components;
        this.dialect = dialect;
        FleetSettings settings = components.settings();
        TimeSource timeSource = components.timeSource();
        documentCache = new TrafficDocumentCache(trafficReplica, dialect);
        directory = new ControlNodeDirectory(settings, components.transport(), timeSource);
        registry = new EndpointRegistry(timeSource);
        gatewayReports =
                new GatewayReports(
                        timeSource, settings.limits().viewLeaseMs() + PRESENCE_MARGIN_MS);
        quarantine =
                new QuarantineServer(
                        registry, this::leaderTerm, controlThread, timeSource, components.log());
        viewServer =
                new ViewServer(
                        trafficReplica,
                        this::replicationGroup,
                        registry,
                        gatewayReports,
                        new LeavingEndpointReports(registry, components.log()),
                        quarantine,
                        directory::allNodes,
                        controlThread,
                        timeSource,
                        settings.nodeId() + ":" + components.incarnation());
        endpointUpdates =
                new EndpointUpdateReplicator(
                        registry,
                        directory::otherNodes,
                        this::isLeader,
                        components.transport(),
                        controlThread,
                        components.log());
        controlServer =
                components.createHttpServer(
                        "control",
                        new ControlHandler(
                                dialect,
                                this::proposalClient,
                                createOrderProposer(),
                                endpointUpdates,
                                timeSource,
                                components.log()));
        metricsServer = components.createMetricsServer();
        platformClient =
                settings.platform()
                        .map(
                                address ->
                                        new FencedPlatformClient(
                                                address.toString(),
                                                components.eventLoops(),
                                                timeSource));
        addGauges();
    }

    private OrderProposer createOrderProposer() {
        EventLoop loop = (EventLoop) components.eventLoops().next();
        LoopPauseDetector pauseDetector = new LoopPauseDetector(components.timeSource());
        pauseDetector.start(loop);
        return new OrderProposer(
                this::proposalClient,
                task -> loop.schedule(task, CLOSE_DELAY_MS, TimeUnit.MILLISECONDS),
                pauseDetector::isReadingBacklog,
                components.timeSource(),
                components.log());
    }

    @Override
    public void start() throws ListenerBindException, TransportStartException, StorageException {
        FleetSettings settings = components.settings();
        components.transport().bind();
        controlServer.bind(settings.control().orElseThrow().toSocketAddress());
        metricsServer.bind(settings.metrics().toSocketAddress());
        components.transport().register(ViewServer.TOPIC, viewServer::handle);
        DocumentServer.start(
                components.transport(), trafficReplica, controlThread, components.timeSource());
        QuotaPool quotaPool =
                new QuotaPool(
                        documentCache::currentRoutes,
                        this::isLeader,
                        gatewayReports::countPresent,
                        settings.limits().quotaAllocation(),
                        controlThread,
                        components.timeSource());
        components.transport().register(QuotaPool.TOPIC, quotaPool::handle);
        components.transport().register(QuarantineServer.TOPIC, quarantine::handleTrial);
        endpointUpdates.start();
        Optional<List<NodeId>> voters = findVoters();
        if (voters.isPresent()) {
            directory.setVoters(voters.get());
            startReplicationGroup(voters.get());
        }
        directory.start(controlThread, this::useLearntVoters);
        controlThread.scheduleWithFixedDelay(
                VOTER_UPDATE_INTERVAL_MS,
                () ->
                        replicationGroup()
                                .map(ReplicationGroup::status)
                                .ifPresent(directory::update));
        components.transport().start();
        startControllers();
        metricsServer.startAccepting();
        controlServer.startAccepting();
        LOGGER.atInfo()
                .addKeyValue("event", "node-started")
                .addKeyValue("node", settings.nodeId())
                .addKeyValue("name", settings.nodeName())
                .addKeyValue("dataCentre", settings.dataCentre())
                .addKeyValue("seeds", settings.seedNodes())
                .addKeyValue("voters", voters.map(Object::toString).orElse("not known"))
                .log("control node started");
    }

    @Override
    public boolean stopGracefully() {
        LOGGER.atInfo().addKeyValue("event", "node-stopping").log("control node is stopping");
        controlServer.stopAcceptingConnections();
        try {
            Thread.sleep(DRAIN_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
        return true;
    }

    @Override
    public void close() {
        controlServer.close();
        metricsServer.close();
        platformClient.ifPresent(FencedPlatformClient::close);
        groups.ifPresent(ControlGroups::close);
        controlThread.close();
        components.close();
    }

    /**
     * Returns the voters stored in the data folder, or the seeds if the entire system starts for
     * the first time, or empty if they must be learnt from other nodes.
     */
    private Optional<List<NodeId>> findVoters() throws StorageException {
        FleetSettings settings = components.settings();
        VoterStore store = new VoterStore(settings.dataFolder().orElseThrow());
        try {
            Optional<List<NodeId>> stored = store.load();
            if (stored.isEmpty() && settings.isFirstStart()) {
                store.save(settings.seedNodes());
                return Optional.of(settings.seedNodes());
            }
            return stored;
        } catch (IOException e) {
            throw new DataFolderException(settings.dataFolder().orElseThrow(), e);
        }
    }

    /** Joins the replication group with voters learnt from other nodes, or asks these to join. */
    private void useLearntVoters(List<NodeId> voters) {
        LOGGER.atInfo()
                .addKeyValue("event", "voters-learnt")
                .addKeyValue("voters", voters)
                .addKeyValue("isJoining", groups.isEmpty())
                .log("learnt the voters of the replication group from another node");
        replicationGroup()
                .ifPresentOrElse(
                        group -> group.setContacts(voters), () -> joinReplicationGroup(voters));
    }

    private void joinReplicationGroup(List<NodeId> voters) {
        try {
            new VoterStore(components.settings().dataFolder().orElseThrow()).save(voters);
            startReplicationGroup(voters);
        } catch (IOException e) {
            throw new UncheckedIOException(
                    "the data folder cannot be written: make it writable", e);
        } catch (StorageException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    private void startReplicationGroup(List<NodeId> voters) throws StorageException {
        GroupDefinition definition =
                GroupDefinition.traffic(
                        voters,
                        VoterCounts.forLosses(components.settings().limits().controlNodeLosses()),
                        trafficReplica,
                        trafficReplica::query);
        ControlGroups started =
                new ControlGroups(
                        components.settings().nodeId(),
                        components.settings().dataFolder(),
                        List.of(definition),
                        directory,
                        components.transport(),
                        components.timeSource(),
                        components.random().split());
        started.start();
        groups = Optional.of(started);
    }

    private void startControllers() {
        ControllerLease lease =
                new ControllerLease(
                        this::replicationGroup,
                        components.timeSource(),
                        components.settings().nodeName(),
                        components.settings().limits().controllerLeaseMs());
        ProposalClient deferredClient = new DeferredProposalClient(this::proposalClient);
        new VersionMoveController(
                        lease,
                        viewServer,
                        gatewayReports,
                        trafficReplica,
                        deferredClient,
                        components.timeSource(),
                        components.log())
                .start(controlThread);
        platformClient.ifPresent(client -> startAutoscaling(client, lease));
        platformClient.ifPresent(
                client ->
                        new UsageReportController(
                                        new UsageReportController.Dependencies(
                                                lease,
                                                viewServer,
                                                gatewayReports,
                                                trafficReplica,
                                                deferredClient,
                                                dialect,
                                                client,
                                                components.timeSource(),
                                                components.log()),
                                        components.settings().limits().usageWindowS(),
                                        components.settings().limits().usageDeadlineS())
                                .start(controlThread));
    }

    private void startAutoscaling(FencedPlatformClient client, ControllerLease lease) {
        new AutoscalingController(
                        new AutoscalingController.Dependencies(
                                lease,
                                viewServer,
                                gatewayReports,
                                documentCache::currentRoutes,
                                registry,
                                trafficReplica,
                                dialect,
                                client,
                                components.timeSource(),
                                components.log()))
                .start(controlThread);
    }

    private void addGauges() {
        components
                .metrics()
                .registerGauge(
                        "cardamomthread_leads",
                        "1 while this node leads the replicated log under its lease",
                        () -> isLeader() ? 1 : 0);
        components
                .metrics()
                .registerGauge(
                        "cardamomthread_votes",
                        "1 while this node's data folder counts towards the majority",
                        () -> isVoter() ? 1 : 0);
        components
                .metrics()
                .registerGauge(
                        "cardamomthread_quarantined_prompt_parts",
                        "Prompt parts of which requests are tried one at a time, at the leader",
                        quarantine::countQuarantined);
    }

    private Optional<ProposalClient> proposalClient() {
        return groups.map(ControlGroups::getClient);
    }

    private Optional<ReplicationGroup> replicationGroup() {
        return groups.flatMap(controlGroups -> controlGroups.replica(GroupDefinition.TRAFFIC));
    }

    private boolean isVoter() {
        return replicationGroup().map(ReplicationGroup::status).stream()
                .filter(status -> status.role() != ReplicaRole.STOPPED)
                .flatMap(
                        status ->
                                status.members().stream()
                                        .filter(
                                                member ->
                                                        member.voterId().equals(status.voterId())))
                .anyMatch(ReplicaMember::isVoter);
    }

    private boolean isLeader() {
        return leaderTerm().isPresent();
    }

    private OptionalLong leaderTerm() {
        return replicationGroup()
                .map(ReplicationGroup::status)
                .filter(ReplicationStatus::isLeaseHeld)
                .map(status -> OptionalLong.of(status.term()))
                .orElse(OptionalLong.empty());
    }
}
