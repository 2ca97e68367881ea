package org.cardamomthread.daemon.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.GroupUnavailableException;

/** Reaches the groups as soon as their voters are known. Safe for use by several threads. */
final class DeferredProposalClient implements ProposalClient {

    private static final String NO_VOTERS_REASON =
            "no voters are known yet; retry when a seed has answered";

    private final Supplier<Optional<ProposalClient>> client;

    DeferredProposalClient(Supplier<Optional<ProposalClient>> client) {
        this.client = client;
    }

    @Override
    public CompletableFuture<byte[]> propose(GroupId group, byte[] command, Duration timeout) {
        return client.get()
                .map(known -> known.propose(group, command, timeout))
                .orElseGet(() -> unavailable(group));
    }

    @Override
    public CompletableFuture<byte[]> query(GroupId group, byte[] query, Duration timeout) {
        return client.get()
                .map(known -> known.query(group, query, timeout))
                .orElseGet(() -> unavailable(group));
    }

    private static CompletableFuture<byte[]> unavailable(GroupId group) {
        return CompletableFuture.failedFuture(
                new GroupUnavailableException(group, NO_VOTERS_REASON));
    }
}
