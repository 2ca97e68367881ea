package org.cardamomthread.daemon.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.control.generated.GroupRequest;
import org.cardamomthread.daemon.control.generated.GroupResponse;
import org.cardamomthread.replication.GroupId;

/**
 * Executes requests on the replicas that run on this node.
 *
 * <p>Thread-safe.
 */
final class GroupServer {

    private final Map<GroupId, RunningGroup> groups;

    GroupServer(Map<GroupId, RunningGroup> groups) {
        this.groups = Map.copyOf(groups);
    }

    CompletionStage<byte[]> handle(NodeId from, byte[] payload) {
        try {
            return execute(GroupRequest.parseFrom(payload)).thenApply(GroupResponse::toByteArray);
        } catch (InvalidProtocolBufferException e) {
            GroupResponse notAppended =
                    GroupResponses.notAppended(
                            "", "the request cannot be parsed; run the same release on all nodes");
            return CompletableFuture.completedFuture(notAppended.toByteArray());
        }
    }

    /** Executes a request; the future never fails, since failures become responses. */
    CompletableFuture<GroupResponse> execute(GroupRequest request) {
        RunningGroup running =
                groups.entrySet().stream()
                        .filter(entry -> entry.getKey().value().equals(request.getGroupId()))
                        .map(Map.Entry::getValue)
                        .findFirst()
                        .orElse(null);
        if (running == null) {
            return CompletableFuture.completedFuture(
                    GroupResponses.notAppended(
                            "", "this node is not a voter of \"" + request.getGroupId() + "\""));
        }
        CompletableFuture<byte[]> result =
                request.hasCommand()
                        ? running.group().propose(request.getCommand().toByteArray())
                        : readAfterBarrier(running, request.getQuery().toByteArray());
        return result.handle(GroupResponses::fromResult);
    }

    private static CompletableFuture<byte[]> readAfterBarrier(RunningGroup running, byte[] query) {
        return running.group()
                .readBarrier()
                .thenApply(index -> running.queryHandler().query(query));
    }
}
