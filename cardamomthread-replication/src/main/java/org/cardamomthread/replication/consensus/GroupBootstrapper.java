package org.cardamomthread.replication.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * Bootstraps the group at its first start, and requests to join a group that exists already.
 *
 * <p>The first voter node of the settings bootstraps the group once all other voter nodes have
 * reported an empty data folder. Every later commit is stored in at least one other folder, so a
 * first node that lost its own folder never bootstraps a second group. If more folders than one may
 * be lost at once, that other folder may be lost too; an empty folder therefore allows one folder
 * only to form the group, and keeps this on disk. A voter that was replaced while it was cut off
 * asks to join again as well, since nothing else tells it. Not thread-safe.
 */
final class GroupBootstrapper {

    private static final long FIRST_TERM = 1;

    private final ReplicaContext context;
    private final Map<NodeId, VoterId> emptyFolderIds = new HashMap<>();
    private List<NodeId> contacts = List.of();
    private long lastRequestMs = MemberProgress.NEVER_MS;

    GroupBootstrapper(ReplicaContext context) {
        this.context = context;
    }

    void setContacts(List<NodeId> nodes) {
        contacts = nodes;
    }

    void tick() {
        if (!mayBecomeMember() || isMember()) {
            return;
        }
        bootstrapIfAllFoldersEmpty();
        if (context.nowMs() - lastRequestMs >= context.settings().electionTimeoutMs() / 2) {
            lastRequestMs = context.nowMs();
            sendRequests();
        }
    }

    private boolean mayBecomeMember() {
        return context.settings().voterReplacement().isPresent() || isConfiguredVoterNode();
    }

    private boolean isConfiguredVoterNode() {
        return context.settings().voterNodes().contains(context.self().nodeId());
    }

    /** A member that hears no leader may have been replaced without learning it. */
    private boolean isMember() {
        boolean maybeReplaced =
                context.settings().voterReplacement().isPresent()
                        && context.leader().isEmpty()
                        && !context.isUninitialized();
        return context.log().membership().contains(context.self().voterId()) && !maybeReplaced;
    }

    private boolean isBootstrapNode() {
        return context.settings().voterNodes().get(0).equals(context.self().nodeId());
    }

    private List<NodeId> otherVoterNodes() {
        return context.settings().voterNodes().stream()
                .filter(node -> !node.equals(context.self().nodeId()))
                .toList();
    }

    private void sendRequests() {
        Outbox outbox = context.outbox();
        for (NodeId node : nodesToAsk()) {
            outbox.queueAfterSync(
                    node,
                    outbox.newEnvelope(null, context.term())
                            .setJoinRequest(
                                    JoinRequest.newBuilder()
                                            .setVoterId(context.self().voterId().value())
                                            .setNodeId(context.self().nodeId().value())));
        }
        if (isBootstrapNode() && context.isUninitialized()) {
            for (NodeId node : otherVoterNodes()) {
                outbox.queueAfterSync(
                        node,
                        outbox.newEnvelope(null, context.term())
                                .setIdentityRequest(IdentityRequest.getDefaultInstance()));
            }
        }
    }

    private Set<NodeId> nodesToAsk() {
        Set<NodeId> nodes = new LinkedHashSet<>(contacts);
        context.log().membership().members().forEach(member -> nodes.add(member.nodeId()));
        if (contacts.isEmpty()) {
            nodes.addAll(context.settings().voterNodes());
        }
        nodes.remove(context.self().nodeId());
        return nodes;
    }

    void onIdentityRequest(VoterId from, NodeId fromNode) {
        boolean allowsBootstrap = context.isUninitialized() && mayAllowBootstrapBy(from);
        if (allowsBootstrap && mayLoseMajorityOfFirstVoters()) {
            context.recordVoteFor(from);
        }
        IdentityResponse response =
                IdentityResponse.newBuilder()
                        .setAskedBy(from.value())
                        .setEmpty(allowsBootstrap)
                        .build();
        Envelope.Builder envelope = context.outbox().newEnvelope(from, context.term());
        context.outbox().queueAfterSync(fromNode, envelope.setIdentityResponse(response));
    }

    /** A vote before the first term is the permission to form the group, given once. */
    private boolean mayAllowBootstrapBy(VoterId folder) {
        return !mayLoseMajorityOfFirstVoters() || context.mayVoteFor(folder);
    }

    /** Returns whether the group is to outlive more losses than its first voters alone do. */
    private boolean mayLoseMajorityOfFirstVoters() {
        return context.settings()
                .voterReplacement()
                .filter(r -> r.voterCount() > context.settings().voterNodes().size())
                .isPresent();
    }

    void onIdentityResponse(VoterId from, NodeId fromNode, IdentityResponse response) {
        if (!response.getAskedBy().equals(context.self().voterId().value())) {
            return;
        }
        if (response.getEmpty()) {
            emptyFolderIds.put(fromNode, from);
        } else {
            emptyFolderIds.remove(fromNode);
        }
        bootstrapIfAllFoldersEmpty();
    }

    private void bootstrapIfAllFoldersEmpty() {
        if (!isBootstrapNode()
                || !context.isUninitialized()
                || !emptyFolderIds.keySet().containsAll(otherVoterNodes())) {
            return;
        }
        List<ReplicaMember> members = new ArrayList<>();
        members.add(new ReplicaMember(context.self().voterId(), context.self().nodeId(), true));
        for (NodeId node : otherVoterNodes()) {
            members.add(new ReplicaMember(emptyFolderIds.get(node), node, true));
        }
        members.sort(Comparator.comparing(ReplicaMember::nodeId));
        context.enterTerm(FIRST_TERM);
        context.recordVoteFor(context.self().voterId());
        context.log()
                .append(
                        Entry.newBuilder()
                                .setIndex(1)
                                .setTerm(FIRST_TERM)
                                .setKind(EntryKind.MEMBERSHIP)
                                .setData(new GroupMembership(members).toMessage().toByteString())
                                .build());
    }
}
