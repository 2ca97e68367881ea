package org.cardamomthread.daemon.execution;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimStateMachine;

/**
 * Ends claims that no gateway ends any more, while this node leads their group: expired claims, and
 * claims of gateways that died during a call, whose outcome is then marked unknown.
 *
 * <p>Runs on the control thread.
 */
public final class ClaimCleaner {

    private static final long INTERVAL_MS = 5_000;
    private static final int ROUNDS_PER_EXPIRY = 12;
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(4);

    private final ExecutionReplica replica;
    private final ClaimStateMachine claims;
    private final BooleanSupplier isLeader;
    private final JobDispatcher.NodeLister deadNodes;
    private final ProposalClient proposals;
    private final TimeSource timeSource;
    private int round;

    /**
     * Creates a cleaner that does not run yet.
     *
     * @param replica synchronizes access to the claims
     * @param claims the state machine of the claims, part of the replica
     * @param isLeader returns whether this node leads the group
     * @param deadNodes lists the nodes that are considered dead
     * @param proposals proposes commands to the group
     * @param timeSource the node's clock
     */
    public ClaimCleaner(
            ExecutionReplica replica,
            ClaimStateMachine claims,
            BooleanSupplier isLeader,
            JobDispatcher.NodeLister deadNodes,
            ProposalClient proposals,
            TimeSource timeSource) {
        this.replica = replica;
        this.claims = claims;
        this.isLeader = isLeader;
        this.deadNodes = deadNodes;
        this.proposals = proposals;
        this.timeSource = timeSource;
    }

    /**
     * Starts to end claims periodically.
     *
     * @param control runs the cleanup
     */
    public void start(ControlThread control) {
        control.scheduleWithFixedDelay(INTERVAL_MS, this::cleanUpClaims);
    }

    private void cleanUpClaims() {
        if (!isLeader.getAsBoolean()) {
            return;
        }
        round++;
        long nowMs = timeSource.millis();
        if (round % ROUNDS_PER_EXPIRY == 0) {
            propose(new ClaimCommand.Expire(nowMs));
        }
        for (NodeId node : deadNodes.list()) {
            List<ClaimCommand> commands =
                    replica.read(() -> claims.markUnknownCommandsFor(node, nowMs));
            commands.forEach(this::propose);
        }
    }

    private void propose(ClaimCommand command) {
        proposals.propose(
                GroupDefinition.CLAIMS,
                ExecutionReplica.prefixCommand(ExecutionReplica.CLAIMS, command.toBytes()),
                PROPOSAL_TIMEOUT);
    }
}
