package org.cardamomthread.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.configuration.state.ConfigurationResult;
import org.cardamomthread.configuration.state.ConfigurationResultCodec;
import org.cardamomthread.core.hash.RandomSeeds;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.control.ConfigurationReplica;
import org.cardamomthread.daemon.control.ControlGroups;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.execution.ClaimCleaner;
import org.cardamomthread.daemon.execution.ExecutionReplica;
import org.cardamomthread.daemon.execution.JobDispatcher;
import org.cardamomthread.daemon.execution.JobQueryHandler;
import org.cardamomthread.daemon.operator.ProposalFailedException;
import org.cardamomthread.daemon.operator.VoterStatus;
import org.cardamomthread.execution.claim.ClaimSettings;
import org.cardamomthread.execution.claim.ClaimStateMachine;
import org.cardamomthread.execution.job.JobStateMachine;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeState;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.transport.PeerTransport;

/** Creates a node's replication groups and the client for them. Thread-safe. */
final class ControlComponents implements AutoCloseable {

    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(10);

    private static final long JOB_RETENTION_MS = 24 * 3_600_000L;

    private final ControlGroups groups;
    private final JobStateMachine jobStateMachine = new JobStateMachine(JOB_RETENTION_MS);
    private final ClaimStateMachine claimStateMachine =
            new ClaimStateMachine(ClaimSettings.defaults());
    private final ExecutionReplica executionReplica =
            new ExecutionReplica(
                    Map.of(
                            ExecutionReplica.CLAIMS,
                            claimStateMachine,
                            ExecutionReplica.JOBS,
                            jobStateMachine));

    ControlComponents(
            NodeSettings settings,
            long incarnation,
            ConfigurationHolder configuration,
            PeerTransport transport,
            TimeSource timeSource) {
        ConfigurationReplica replica = new ConfigurationReplica(configuration);
        List<GroupDefinition> definitions = new ArrayList<>();
        if (!settings.bootstrapVoters().configuration().isEmpty()) {
            definitions.add(
                    GroupDefinition.configuration(
                            settings.bootstrapVoters().configuration(), replica, replica::query));
        }
        if (!settings.bootstrapVoters().work().isEmpty()) {
            definitions.add(createExecutionGroup(settings));
        }
        groups =
                new ControlGroups(
                        settings.nodeId(),
                        settings.dataFolder(),
                        definitions,
                        transport,
                        timeSource,
                        new SplittableRandom(
                                RandomSeeds.derive(settings.nodeId().value(), incarnation)));
    }

    private GroupDefinition createExecutionGroup(NodeSettings settings) {
        return GroupDefinition.claims(
                settings.bootstrapVoters().work(),
                executionReplica,
                new JobQueryHandler(executionReplica, jobStateMachine));
    }

    /** Creates the task that ends expired claims and claims of dead gateways. */
    ClaimCleaner createClaimCleaner(JobDispatcher.NodeLister deadNodes, TimeSource timeSource) {
        return new ClaimCleaner(
                executionReplica,
                claimStateMachine,
                this::isExecutionLeader,
                deadNodes,
                getClient(),
                timeSource);
    }

    /** Returns whether this node leads the group of claims and jobs and holds its leader lease. */
    boolean isExecutionLeader() {
        return groups.replica(GroupDefinition.CLAIMS)
                .filter(replica -> replica.status().isLeaseHeld())
                .isPresent();
    }

    void start() throws StorageException {
        groups.start();
    }

    ProposalClient getClient() {
        return groups.getClient();
    }

    /** Proposes a configuration change; the future fails with {@link ProposalFailedException}. */
    CompletableFuture<ConfigurationResult> propose(ConfigurationCommand command) {
        return groups.getClient()
                .propose(GroupDefinition.CONFIGURATION, command.toByteArray(), PROPOSAL_TIMEOUT)
                .handle(ControlComponents::parseResult);
    }

    /** Describes the voters of all groups of which this node has a replica. */
    List<VoterStatus> describeVoters(NodeDirectory directory) {
        List<VoterStatus> voters = new ArrayList<>();
        for (ReplicationStatus status : groups.getStatuses()) {
            for (ReplicaMember member : status.members()) {
                voters.add(describe(status, member, directory));
            }
        }
        return voters;
    }

    @Override
    public void close() {
        groups.close();
    }

    private static VoterStatus describe(
            ReplicationStatus status, ReplicaMember member, NodeDirectory directory) {
        NodeId node = member.nodeId();
        boolean isSelf = node.equals(status.nodeId());
        boolean isReachable =
                isSelf
                        || directory
                                .find(node)
                                .filter(view -> view.state() == NodeState.ALIVE)
                                .isPresent();
        return new VoterStatus(
                status.groupId().value(),
                node,
                describeRole(status, member),
                isReachable,
                isSelf ? status.lastIndex() : -1);
    }

    private static String describeRole(ReplicationStatus status, ReplicaMember member) {
        if (!member.isVoter()) {
            return "learner";
        }
        boolean isLeader = status.leader().filter(member.nodeId()::equals).isPresent();
        return isLeader ? "leader" : "follower";
    }

    private static ConfigurationResult parseResult(byte[] result, Throwable failure) {
        if (failure == null) {
            return ConfigurationResultCodec.parse(result);
        }
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean isNotAppended = cause instanceof ReplicaUnavailableException;
        throw new CompletionException(
                new ProposalFailedException(cause.getMessage(), isNotAppended));
    }
}
