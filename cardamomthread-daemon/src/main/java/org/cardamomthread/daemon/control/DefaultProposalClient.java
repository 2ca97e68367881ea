package org.cardamomthread.daemon.control;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.control.generated.GroupRequest;
import org.cardamomthread.daemon.control.generated.GroupResponse;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;

/** Sends requests to the voters of a group, starting with the presumed leader. Thread-safe. */
final class DefaultProposalClient implements ProposalClient {

    /** The topic of requests to voters. */
    static final PeerTopic TOPIC = new PeerTopic(12, "group-requests");

    private final NodeId self;
    private final VoterDirectory voterDirectory;
    private final GroupServer localServer;
    private final PeerTransport transport;
    private final TimeSource timeSource;
    private final Map<GroupId, LeaderHint> leaderHints = new ConcurrentHashMap<>();

    DefaultProposalClient(
            NodeId self,
            VoterDirectory voterDirectory,
            GroupServer localServer,
            PeerTransport transport,
            TimeSource timeSource) {
        this.self = self;
        this.voterDirectory = voterDirectory;
        this.localServer = localServer;
        this.transport = transport;
        this.timeSource = timeSource;
    }

    @Override
    public CompletableFuture<byte[]> propose(GroupId group, byte[] command, Duration timeout) {
        return forward(
                group,
                GroupRequest.newBuilder()
                        .setGroupId(group.value())
                        .setCommand(ByteString.copyFrom(command))
                        .build(),
                timeout);
    }

    @Override
    public CompletableFuture<byte[]> query(GroupId group, byte[] query, Duration timeout) {
        return forward(
                group,
                GroupRequest.newBuilder()
                        .setGroupId(group.value())
                        .setQuery(ByteString.copyFrom(query))
                        .build(),
                timeout);
    }

    private CompletableFuture<byte[]> forward(
            GroupId group, GroupRequest request, Duration timeout) {
        List<NodeId> voters = voterDirectory.voters(group);
        if (voters.isEmpty()) {
            return CompletableFuture.failedFuture(
                    new ReplicaUnavailableException(
                            group, "the settings name no voters; set bootstrapVoters"));
        }
        LeaderHint leaderHint = leaderHints.computeIfAbsent(group, id -> new LeaderHint());
        return new ForwardedRequest(
                        group, request, voters, leaderHint, this::send, timeSource, timeout)
                .run();
    }

    private CompletableFuture<byte[]> send(NodeId to, GroupRequest request, Duration timeout) {
        if (to.equals(self)) {
            return localServer
                    .execute(request)
                    .thenApply(GroupResponse::toByteArray)
                    .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
        }
        return transport.request(to, TOPIC, request.toByteArray(), timeout);
    }
}
