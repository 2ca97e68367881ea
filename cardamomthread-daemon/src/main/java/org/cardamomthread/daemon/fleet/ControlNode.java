package org.cardamomthread.daemon.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.ControlGroups;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.duty.DutyLease;
import org.cardamomthread.daemon.duty.MoveDuty;
import org.cardamomthread.daemon.duty.PlatformCaller;
import org.cardamomthread.daemon.duty.ScalingDuty;
import org.cardamomthread.daemon.duty.UsageDuty;
import org.cardamomthread.daemon.http.HttpServer;
import org.cardamomthread.daemon.http.ListenException;
import org.cardamomthread.daemon.registry.EndpointNewsFeed;
import org.cardamomthread.daemon.registry.EndpointRegister;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.QuotaPool;
import org.cardamomthread.daemon.view.ViewServer;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.TransportStartException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one control node.
 *
 * <p>Invariant: the node takes part in votes only with a data folder that it has itself written; a
 * node with an empty folder learns from others who votes and joins as a new member. Safe for use by
 * several threads.
 */
final class ControlNode implements FleetNode {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlNode.class);

    /** Beyond the view lease, after which a silent gateway uses no shares any more. */
    private static final long PRESENCE_MARGIN_MS = 1_000;

    private static final long CLOSE_DELAY_MS = 300;

    private final FleetParts parts;
    private final PlatformDialect dialect;
    private final ControlThread control = new ControlThread("control");
    private final TrafficReplica replica = new TrafficReplica();
    private final DocumentHolder documents;
    private final ControlDirectory directory;
    private final EndpointRegister register;
    private final GatewayReports reports;
    private final ViewServer views;
    private final EndpointNewsFeed endpoints;
    private final HttpServer orders;
    private final HttpServer metrics;
    private final Optional<PlatformCaller> platform;
    private volatile Optional<ControlGroups> groups = Optional.empty();

    ControlNode(FleetParts parts, PlatformDialect dialect) {
        this.parts = parts;
        this.dialect = dialect;
        FleetSettings settings = parts.settings();
        TimeSource timeSource = parts.timeSource();
        documents = new DocumentHolder(replica, dialect);
        directory = new ControlDirectory(settings, parts.transport(), timeSource);
        register = new EndpointRegister(timeSource);
        reports =
                new GatewayReports(
                        timeSource, settings.limits().viewLeaseMs() + PRESENCE_MARGIN_MS);
        views =
                new ViewServer(
                        replica,
                        this::group,
                        register,
                        reports,
                        directory::all,
                        control,
                        timeSource,
                        settings.nodeId() + ":" + parts.incarnation());
        endpoints =
                new EndpointNewsFeed(
                        register,
                        directory::others,
                        this::leads,
                        parts.transport(),
                        control,
                        parts.log());
        orders =
                parts.createServer(
                        "control",
                        new ControlApi(
                                dialect, this::proposals, endpoints, timeSource, parts.log()));
        metrics = parts.createMetricsServer();
        platform =
                settings.platform()
                        .map(address -> new PlatformCaller(address.toString(), parts.eventLoops()));
        addGauges();
    }

    @Override
    public void start() throws ListenException, TransportStartException, StorageException {
        FleetSettings settings = parts.settings();
        parts.transport().register(ViewServer.TOPIC, views::handle);
        QuotaPool quotas =
                new QuotaPool(
                        documents::current,
                        this::leads,
                        settings.limits().quotas(),
                        control,
                        parts.timeSource());
        parts.transport().register(QuotaPool.TOPIC, quotas::handle);
        endpoints.start();
        Optional<List<NodeId>> voters = findVoters();
        if (voters.isPresent()) {
            directory.setVoters(voters.get());
            startGroups(voters.get());
        }
        directory.start(control, this::joinGroups);
        parts.transport().start();
        startDuties();
        metrics.listen(settings.metrics().toSocketAddress());
        orders.listen(settings.control().orElseThrow().toSocketAddress());
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
        LOGGER.atInfo().addKeyValue("event", "node-stopping").log("control node stops");
        orders.stopAccepting();
        try {
            Thread.sleep(CLOSE_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        close();
        return true;
    }

    @Override
    public void close() {
        orders.close();
        metrics.close();
        platform.ifPresent(PlatformCaller::close);
        groups.ifPresent(ControlGroups::close);
        control.close();
        parts.close();
    }

    /**
     * Finds the voters on disk, or among the seeds when the whole system starts for the first time.
     */
    private Optional<List<NodeId>> findVoters() throws StorageException {
        FleetSettings settings = parts.settings();
        VoterStore store = new VoterStore(settings.dataFolder().orElseThrow());
        try {
            Optional<List<NodeId>> stored = store.load();
            if (stored.isEmpty() && settings.isFirstStart()) {
                store.save(settings.seedNodes());
                return Optional.of(settings.seedNodes());
            }
            return stored;
        } catch (IOException e) {
            throw new FolderFailureException(settings.dataFolder().orElseThrow(), e);
        }
    }

    /** Joins a group whose voters this node has learnt from others. */
    private void joinGroups(List<NodeId> voters) {
        LOGGER.atInfo()
                .addKeyValue("event", "voters-learnt")
                .addKeyValue("voters", voters)
                .log("joins with an empty folder");
        try {
            new VoterStore(parts.settings().dataFolder().orElseThrow()).save(voters);
            startGroups(voters);
        } catch (IOException e) {
            throw new UncheckedIOException("the data folder must be writable", e);
        } catch (StorageException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    private void startGroups(List<NodeId> voters) throws StorageException {
        GroupDefinition definition = GroupDefinition.traffic(voters, replica, replica::query);
        ControlGroups started =
                new ControlGroups(
                        parts.settings().nodeId(),
                        parts.settings().dataFolder(),
                        List.of(definition),
                        parts.transport(),
                        parts.timeSource(),
                        parts.random().split());
        started.start();
        groups = Optional.of(started);
    }

    private void startDuties() {
        DutyLease lease =
                new DutyLease(
                        this::group,
                        parts.timeSource(),
                        parts.settings().nodeName(),
                        parts.settings().limits().leaseMs());
        ProposalClient lateBound = new LateBoundProposals(this::proposals);
        new MoveDuty(lease, views, reports, replica, lateBound, parts.timeSource(), parts.log())
                .start(control);
        platform.ifPresent(caller -> startScaling(caller, lease));
        platform.ifPresent(
                caller ->
                        new UsageDuty(
                                        new UsageDuty.Environment(
                                                lease,
                                                views,
                                                reports,
                                                replica,
                                                lateBound,
                                                dialect,
                                                caller,
                                                parts.timeSource(),
                                                parts.log()),
                                        parts.settings().limits().usageWindowS(),
                                        parts.settings().limits().usageLateS())
                                .start(control));
    }

    private void startScaling(PlatformCaller caller, DutyLease lease) {
        new ScalingDuty(
                        new ScalingDuty.Environment(
                                lease,
                                views,
                                reports,
                                documents::current,
                                register,
                                dialect,
                                caller,
                                parts.timeSource(),
                                parts.log()))
                .start(control);
    }

    private void addGauges() {
        parts.metrics()
                .addGauge(
                        "cardamomthread_leads",
                        "1 while this node leads the replicated log under its lease",
                        () -> leads() ? 1 : 0);
        parts.metrics()
                .addGauge(
                        "cardamomthread_votes",
                        "1 while this node's data folder counts towards the majority",
                        () -> votes() ? 1 : 0);
    }

    private Optional<ProposalClient> proposals() {
        return groups.map(ControlGroups::client);
    }

    private Optional<ReplicationGroup> group() {
        return groups.flatMap(known -> known.replica(GroupDefinition.TRAFFIC));
    }

    private boolean votes() {
        return group().map(ReplicationGroup::status).stream()
                .flatMap(
                        status ->
                                status.members().stream()
                                        .filter(
                                                member ->
                                                        member.voterId().equals(status.voterId())))
                .anyMatch(ReplicaMember::isVoter);
    }

    private boolean leads() {
        return group().filter(replicaOfGroup -> replicaOfGroup.status().isLeaseHeld()).isPresent();
    }
}
