package org.cardamomthread.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicaUnavailableException;

/**
 * Delegates to the actual proposal client as soon as the voters are known, and fails calls until
 * then. Thread-safe.
 */
final class DeferredProposalClient implements ProposalClient {

    private static final String NO_VOTERS_REASON =
            "the voters are not known yet; retry when a seed node has responded";

    private final Supplier<Optional<ProposalClient>> delegate;

    DeferredProposalClient(Supplier<Optional<ProposalClient>> delegate) {
        this.delegate = delegate;
    }

    @Override
    public CompletableFuture<byte[]> propose(GroupId group, byte[] command, Duration timeout) {
        return delegate.get()
                .map(proposalClient -> proposalClient.propose(group, command, timeout))
                .orElseGet(() -> unavailable(group));
    }

    @Override
    public CompletableFuture<byte[]> query(GroupId group, byte[] query, Duration timeout) {
        return delegate.get()
                .map(proposalClient -> proposalClient.query(group, query, timeout))
                .orElseGet(() -> unavailable(group));
    }

    private static CompletableFuture<byte[]> unavailable(GroupId group) {
        return CompletableFuture.failedFuture(
                new ReplicaUnavailableException(group, NO_VOTERS_REASON));
    }
}
