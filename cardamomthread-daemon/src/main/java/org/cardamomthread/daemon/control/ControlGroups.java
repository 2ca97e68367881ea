package org.cardamomthread.daemon.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.runtime.DefaultReplicationGroup;
import org.cardamomthread.replication.storage.FileLogStorage;
import org.cardamomthread.transport.PeerTransport;

/**
 * Runs the replication groups of which this node is or may become a voter and provides a client for
 * all groups.
 *
 * <p>Lifecycle: {@link #start()} once after the transport has been created, then {@link #close()}.
 * Thread-safe.
 */
public final class ControlGroups implements AutoCloseable {

    /** Milliseconds to wait for one voter before trying the next one. */
    static final long ATTEMPT_TIMEOUT_MS = 1500;

    private static final String REPLICATION_FOLDER = "replication";

    private final NodeId self;
    private final List<GroupDefinition> definitions;
    private final PeerTransport transport;
    private final VoterDirectory voterDirectory;
    private final Map<GroupId, RunningGroup> runningGroups = new LinkedHashMap<>();
    private final GroupServer server;
    private final ProposalClient client;

    /**
     * Creates groups whose voters are those of the definitions, without starting them.
     *
     * @param self this node
     * @param dataFolder the node's data folder, or empty on a diskless node
     * @param definitions the groups of the system, including those of which this node is no voter
     * @param transport the transport to other nodes
     * @param timeSource the clock for timeouts
     * @param random randomizes the election timeouts
     */
    public ControlGroups(
            NodeId self,
            Optional<Path> dataFolder,
            List<GroupDefinition> definitions,
            PeerTransport transport,
            TimeSource timeSource,
            SplittableGenerator random) {
        this(
                self,
                dataFolder,
                definitions,
                new FixedVoterDirectory(definitions),
                transport,
                timeSource,
                random);
    }

    /**
     * Creates the groups without starting them.
     *
     * @param self this node
     * @param dataFolder the node's data folder, or empty on a diskless node
     * @param definitions the groups of the system, including those of which this node is no voter
     * @param voterDirectory tracks the voters of the groups
     * @param transport the transport to other nodes
     * @param timeSource the clock for timeouts
     * @param random randomizes the election timeouts
     */
    public ControlGroups(
            NodeId self,
            Optional<Path> dataFolder,
            List<GroupDefinition> definitions,
            VoterDirectory voterDirectory,
            PeerTransport transport,
            TimeSource timeSource,
            SplittableGenerator random) {
        this.self = self;
        this.definitions = List.copyOf(definitions);
        this.voterDirectory = voterDirectory;
        this.transport = transport;
        for (GroupDefinition definition : definitions) {
            if (definition.hasReplicaOn(self)) {
                Path folder = resolveFolder(dataFolder, definition);
                ReplicationGroup group =
                        createReplicationGroup(definition, folder, timeSource, random.split());
                runningGroups.put(
                        definition.id(), new RunningGroup(group, definition.queryHandler()));
            }
        }
        server = new GroupServer(runningGroups);
        client = new DefaultProposalClient(self, voterDirectory, server, transport, timeSource);
    }

    private Path resolveFolder(Optional<Path> dataFolder, GroupDefinition definition) {
        Path parent =
                dataFolder.orElseThrow(
                        () ->
                                new IllegalArgumentException(
                                        "node \""
                                                + self
                                                + "\" is a voter of \""
                                                + definition.id()
                                                + "\" and must have a dataFolder in its"
                                                + " settings"));
        return parent.resolve(REPLICATION_FOLDER).resolve(definition.id().value());
    }

    private ReplicationGroup createReplicationGroup(
            GroupDefinition definition,
            Path folder,
            TimeSource timeSource,
            RandomGenerator random) {
        return new DefaultReplicationGroup(
                definition.id(),
                self,
                ReplicationSettings.withDefaults(definition.voters())
                        .withElectionTimeoutAndHeartbeat(
                                definition.electionTimeoutMs(), definition.heartbeatMs())
                        .withVoterReplacement(definition.voterReplacement()),
                new FileLogStorage(folder),
                definition.stateMachine(),
                (to, message) -> transport.send(to, definition.topic(), message),
                timeSource,
                random);
    }

    /**
     * Starts this node's replicas and registers the message handlers. After a failure, the groups
     * are closed and no handler is registered.
     *
     * @throws StorageException if a group's folder is damaged, unreadable or belongs to another
     *     node; the message states the remedy
     */
    public void start() throws StorageException {
        try {
            for (RunningGroup group : runningGroups.values()) {
                group.group().start();
            }
        } catch (StorageException e) {
            close();
            throw e;
        }
        for (GroupDefinition definition : definitions) {
            RunningGroup group = runningGroups.get(definition.id());
            if (group != null) {
                transport.register(
                        definition.topic(),
                        (from, message) -> {
                            voterDirectory.recordContact(from);
                            group.group().receive(from, message);
                            return CompletableFuture.completedFuture(new byte[0]);
                        });
            }
        }
        transport.register(DefaultProposalClient.TOPIC, server::handle);
    }

    /**
     * Returns a client that reaches every group from this node.
     *
     * @return the client
     */
    public ProposalClient getClient() {
        return client;
    }

    /**
     * Returns the status of each replica on this node.
     *
     * @return one status for each group of which this node is a voter
     */
    public List<ReplicationStatus> getStatuses() {
        List<ReplicationStatus> statuses = new ArrayList<>();
        runningGroups.values().forEach(group -> statuses.add(group.group().status()));
        return statuses;
    }

    /**
     * Returns this node's replica of a group, for example to change the group's members.
     *
     * @param group the group
     * @return the replica, or empty if this node is no voter of it
     */
    public Optional<ReplicationGroup> replica(GroupId group) {
        return Optional.ofNullable(runningGroups.get(group)).map(RunningGroup::group);
    }

    @Override
    public void close() {
        runningGroups.values().forEach(group -> group.group().close());
    }
}
