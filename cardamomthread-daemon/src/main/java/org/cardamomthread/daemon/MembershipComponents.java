package org.cardamomthread.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.cardamomthread.configuration.settings.Listeners;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.settings.PeerSettings;
import org.cardamomthread.core.hash.RandomSeeds;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.capacity.ReclaimNoticeRegistry;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.membership.CacheEventPublisher;
import org.cardamomthread.daemon.membership.MembershipService;
import org.cardamomthread.daemon.membership.ObservationPublisher;
import org.cardamomthread.daemon.membership.SlowStartConcurrencyLimits;
import org.cardamomthread.daemon.quarantine.Peer;
import org.cardamomthread.membership.endpoint.EndpointAnnouncement;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.membership.gateway.CreditPoolSettings;
import org.cardamomthread.membership.gateway.DefaultCreditPool;
import org.cardamomthread.membership.home.DefaultEndpointHome;
import org.cardamomthread.membership.home.EndpointHome;
import org.cardamomthread.membership.home.HomeAssignment;
import org.cardamomthread.membership.home.HomeSettings;
import org.cardamomthread.membership.node.DefaultNodeDirectory;
import org.cardamomthread.membership.node.NodeAddresses;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeDirectorySettings;
import org.cardamomthread.membership.node.NodeEntry;
import org.cardamomthread.membership.node.NodeState;
import org.cardamomthread.policy.routing.PrefixIndex;
import org.cardamomthread.transport.PeerTransport;

/** Creates the membership components of a node. Immutable after construction. */
final class MembershipComponents {

    private static final String UNKNOWN_ADDRESS = "";
    private static final int MAX_PREFIX_BLOCKS = 262_144;
    private static final long PREFIX_HALF_LIFE_MS = 300_000;
    private static final long MAX_PREFIX_AGE_MS = 1_800_000;

    private final NodeDirectory directory;
    private final PrefixIndex prefixIndex =
            new PrefixIndex(MAX_PREFIX_BLOCKS, PREFIX_HALF_LIFE_MS, MAX_PREFIX_AGE_MS);
    private final SlowStartConcurrencyLimits concurrencyLimits;
    private final ObservationPublisher observationPublisher;
    private final CacheEventPublisher cacheEventPublisher;
    private final CreditPool creditPool;
    private final MembershipService service;

    MembershipComponents(
            NodeSettings settings,
            long incarnation,
            TimeSource timeSource,
            PeerTransport transport,
            ControlThread controlThread,
            ConfigurationHolder configuration,
            ReclaimNoticeRegistry reclaimNotices) {
        NodeEntry self = createSelf(settings, incarnation);
        directory =
                new DefaultNodeDirectory(
                        self,
                        createSeeds(settings),
                        NodeDirectorySettings.defaults(),
                        timeSource,
                        new Random(RandomSeeds.derive(settings.nodeId().value(), incarnation)));
        concurrencyLimits =
                new SlowStartConcurrencyLimits(
                        configuration,
                        announcement ->
                                directory.isDrained(announcement.dataCentre())
                                        || reclaimNotices.hasNotice(announcement.endpoint()),
                        timeSource);
        observationPublisher =
                new ObservationPublisher(concurrencyLimits, transport, controlThread, timeSource);
        cacheEventPublisher =
                new CacheEventPublisher(
                        prefixIndex, directory, transport, controlThread, timeSource);
        EndpointHome home =
                new DefaultEndpointHome(
                        self,
                        new HomeAssignment(directory),
                        createHomeSettings(settings),
                        concurrencyLimits,
                        this::onAnnouncement,
                        timeSource);
        creditPool = new DefaultCreditPool(directory, createPoolSettings(settings), timeSource);
        service = new MembershipService(directory, home, creditPool, transport, controlThread);
    }

    /** Starts the exchange of messages with other nodes. */
    void start(long heartbeatIntervalMs) {
        service.start(heartbeatIntervalMs);
        observationPublisher.start();
        cacheEventPublisher.start();
    }

    PrefixIndex getPrefixIndex() {
        return prefixIndex;
    }

    ObservationPublisher getObservationPublisher() {
        return observationPublisher;
    }

    NodeDirectory getDirectory() {
        return directory;
    }

    CreditPool getCreditPool() {
        return creditPool;
    }

    MembershipService getService() {
        return service;
    }

    /** Returns the nodes that are alive and not leaving, including this one, in ascending order. */
    List<NodeId> listLiveNodes() {
        Stream<NodeId> otherNodes =
                directory.otherNodes().stream()
                        .filter(node -> node.state() == NodeState.ALIVE && !node.entry().leaving())
                        .map(node -> node.entry().id());
        return Stream.concat(Stream.of(directory.self().id()), otherNodes).sorted().toList();
    }

    /** Returns the other nodes that are alive and not leaving. */
    List<Peer> listLivePeers() {
        return directory.otherNodes().stream()
                .filter(node -> node.state() == NodeState.ALIVE && !node.entry().leaving())
                .map(node -> new Peer(node.entry().id(), node.entry().incarnation()))
                .toList();
    }

    /** Returns the nodes that the failure detector considers dead, in ascending order. */
    List<NodeId> listDeadNodes() {
        return directory.otherNodes().stream()
                .filter(node -> node.state() == NodeState.DEAD)
                .map(node -> node.entry().id())
                .sorted()
                .toList();
    }

    private void onAnnouncement(EndpointAnnouncement announcement) {
        concurrencyLimits.onAnnouncement(announcement);
        cacheEventPublisher.onAnnouncement(announcement);
    }

    private static HomeSettings createHomeSettings(NodeSettings settings) {
        HomeSettings defaults = HomeSettings.defaults();
        return new HomeSettings(
                settings.leaseMs(),
                defaults.maxClockDriftPerMille(),
                defaults.announcementValidityMs(),
                defaults.maxAnnouncementAgeMs(),
                defaults.maxFastestDelayMs(),
                defaults.maxCountSkewMs(),
                defaults.gatewayTimeoutMs(),
                defaults.maxRequestDurationMs());
    }

    private static CreditPoolSettings createPoolSettings(NodeSettings settings) {
        CreditPoolSettings defaults = CreditPoolSettings.defaults();
        return new CreditPoolSettings(
                Math.min(defaults.demandIntervalMs(), settings.leaseMs() / 4),
                defaults.urgentIntervalMs(),
                defaults.localHomes(),
                defaults.remoteHomes(),
                settings.leaseMs());
    }

    private static NodeEntry createSelf(NodeSettings settings, long incarnation) {
        Listeners listeners = settings.listeners();
        NodeAddresses addresses =
                new NodeAddresses(
                        listeners.callers().toString(),
                        listeners.endpoints().toString(),
                        listeners.operators().toString(),
                        listeners.peers().toString());
        NodeEntry seed = NodeEntry.seed(settings.nodeId(), settings.dataCentre(), addresses);
        return new NodeEntry(
                seed.id(),
                incarnation,
                1,
                seed.dataCentre(),
                addresses,
                settings.isVoter(),
                seed.leaderHint(),
                false);
    }

    private static List<NodeEntry> createSeeds(NodeSettings settings) {
        List<NodeEntry> seeds = new ArrayList<>();
        for (PeerSettings peer : settings.peers()) {
            if (!peer.id().equals(settings.nodeId())) {
                NodeAddresses addresses =
                        new NodeAddresses(
                                UNKNOWN_ADDRESS,
                                UNKNOWN_ADDRESS,
                                UNKNOWN_ADDRESS,
                                peer.address().toString());
                seeds.add(NodeEntry.seed(peer.id(), peer.dataCentre(), addresses));
            }
        }
        return seeds;
    }
}
