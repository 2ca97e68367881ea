package org.cardamomthread.daemon.gateway;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.execution.ExecutionReplica;
import org.cardamomthread.execution.claim.ClaimCommand;
import org.cardamomthread.execution.claim.ClaimOutcome;

/** Proposes claim commands to the replicated log. Thread-safe. */
final class ReplicatedClaimClient implements ClaimClient {

    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(4);

    private final ProposalClient proposals;

    ReplicatedClaimClient(ProposalClient proposals) {
        this.proposals = proposals;
    }

    @Override
    public CompletableFuture<ClaimOutcome> propose(ClaimCommand command) {
        byte[] prefixedCommand =
                ExecutionReplica.prefixCommand(ExecutionReplica.CLAIMS, command.toBytes());
        return proposals
                .propose(GroupDefinition.CLAIMS, prefixedCommand, PROPOSAL_TIMEOUT)
                .thenApply(ClaimOutcome::parse);
    }
}
