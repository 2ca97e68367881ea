package org.cardamomthread.replication.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.EntryKind;
import org.cardamomthread.replication.generated.Envelope;
import org.cardamomthread.replication.generated.IdentityRequest;
import org.cardamomthread.replication.generated.IdentityResponse;
import org.cardamomthread.replication.generated.JoinRequest;

/**
 * Forms the group at its first start, and asks to join a group that exists.
 *
 * <p>The first node of the settings forms the group once all others have answered that their
 * folders are empty too. Since each later commit leaves a trace in another folder, a first node
 * that lost its folder never forms a second group. Used by one thread at a time.
 */
final class Formation {

    private static final long FIRST_TERM = 1;

    private final ReplicaContext context;
    private final Map<NodeId, VoterId> emptyFolders = new HashMap<>();
    private long lastAskedMs = Progress.NEVER_MS;

    Formation(ReplicaContext context) {
        this.context = context;
    }

    void tick() {
        boolean isNamed = context.settings().voterNodes().contains(context.self().nodeId());
        if (!isNamed || context.log().members().contains(context.self().voterId())) {
            return;
        }
        formIfAllEmpty();
        if (context.nowMs() - lastAskedMs >= context.settings().electionTimeoutMs() / 2) {
            lastAskedMs = context.nowMs();
            ask();
        }
    }

    private boolean isFirstNode() {
        return context.settings().voterNodes().get(0).equals(context.self().nodeId());
    }

    private List<NodeId> otherNodes() {
        return context.settings().voterNodes().stream()
                .filter(node -> !node.equals(context.self().nodeId()))
                .toList();
    }

    private void ask() {
        for (NodeId node : otherNodes()) {
            Outbox outbox = context.outbox();
            outbox.sendAfterSync(
                    node,
                    outbox.envelope(null, context.term())
                            .setJoinRequest(
                                    JoinRequest.newBuilder()
                                            .setVoterId(context.self().voterId().value())
                                            .setNodeId(context.self().nodeId().value())));
            if (isFirstNode() && context.isEmpty()) {
                outbox.sendAfterSync(
                        node,
                        outbox.envelope(null, context.term())
                                .setIdentityRequest(IdentityRequest.getDefaultInstance()));
            }
        }
    }

    void onRequest(VoterId from, NodeId fromNode) {
        IdentityResponse response =
                IdentityResponse.newBuilder()
                        .setAskedBy(from.value())
                        .setEmpty(context.isEmpty())
                        .build();
        Envelope.Builder envelope = context.outbox().envelope(from, context.term());
        context.outbox().sendAfterSync(fromNode, envelope.setIdentityResponse(response));
    }

    void onResponse(VoterId from, NodeId fromNode, IdentityResponse response) {
        if (!response.getAskedBy().equals(context.self().voterId().value())) {
            return;
        }
        if (response.getEmpty()) {
            emptyFolders.put(fromNode, from);
        } else {
            emptyFolders.remove(fromNode);
        }
        formIfAllEmpty();
    }

    private void formIfAllEmpty() {
        if (!isFirstNode()
                || !context.isEmpty()
                || !emptyFolders.keySet().containsAll(otherNodes())) {
            return;
        }
        List<ReplicaMember> members = new ArrayList<>();
        members.add(new ReplicaMember(context.self().voterId(), context.self().nodeId(), true));
        for (NodeId node : otherNodes()) {
            members.add(new ReplicaMember(emptyFolders.get(node), node, true));
        }
        members.sort(Comparator.comparing(ReplicaMember::nodeId));
        context.enterTerm(FIRST_TERM);
        context.voteFor(context.self().voterId());
        context.log()
                .append(
                        Entry.newBuilder()
                                .setIndex(1)
                                .setTerm(FIRST_TERM)
                                .setKind(EntryKind.MEMBERSHIP)
                                .setData(new Members(members).toMessage().toByteString())
                                .build());
    }
}
