package org.cardamomthread.replication.consensus;

import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.MembershipChangeException;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.EntryKind;

/**
 * Changes the membership, one member at a time, on behalf of one leadership.
 *
 * <p>Invariants: a change begins only after the former one and an entry of this term are committed;
 * only a learner that holds nearly the whole log becomes a voter. Used by one thread at a time.
 */
final class MembershipChanges {

    private static final long MAX_PROMOTION_LAG_ENTRIES = 64;

    private final ReplicaContext context;
    private final LeaderState leaderState;

    MembershipChanges(ReplicaContext context, LeaderState leadership) {
        this.context = context;
        this.leaderState = leadership;
    }

    private GroupMembership membership() {
        return context.log().membership();
    }

    long addLearner(VoterId voterId, NodeId nodeId) throws MembershipChangeException {
        requireMembershipCommitted();
        require(
                !membership().contains(voterId),
                "\"" + voterId + "\" is a member already; look at the status");
        return append(membership().withMember(new ReplicaMember(voterId, nodeId, false)));
    }

    long promote(VoterId voterId) throws MembershipChangeException {
        requireMembershipCommitted();
        ReplicaMember member = requireMember(voterId);
        require(!member.isVoter(), "\"" + voterId + "\" is a voter already; nothing to do");
        require(
                isCaughtUp(voterId),
                "\"" + voterId + "\" lacks entries; wait until its match index has caught up");
        return append(membership().withMember(new ReplicaMember(voterId, member.nodeId(), true)));
    }

    long remove(VoterId voterId) throws MembershipChangeException {
        requireMembershipCommitted();
        ReplicaMember member = requireMember(voterId);
        require(
                !member.isVoter() || membership().voters().size() > 1,
                "\"" + voterId + "\" is the only voter; add another one first");
        return append(membership().withoutMember(voterId));
    }

    private ReplicaMember requireMember(VoterId voterId) throws MembershipChangeException {
        return membership()
                .find(voterId)
                .orElseThrow(
                        () ->
                                new MembershipChangeException(
                                        "\""
                                                + voterId
                                                + "\" is not a member; take the identity from the"
                                                + " status"));
    }

    private void requireMembershipCommitted() throws MembershipChangeException {
        require(
                leaderState.isMembershipCommitted(),
                "the former change of membership is not committed; retry when it is");
    }

    private static void require(boolean condition, String message)
            throws MembershipChangeException {
        if (!condition) {
            throw new MembershipChangeException(message);
        }
    }

    private long append(GroupMembership changed) {
        return leaderState.append(EntryKind.MEMBERSHIP, changed.toMessage().toByteString());
    }

    private boolean isCaughtUp(VoterId voterId) {
        MemberProgress progress = leaderState.progressOf(voterId);
        return progress != null
                && progress.mode() == MemberProgress.Mode.REPLICATE
                && leaderState.isRecentlyActive(voterId)
                && progress.matchIndex() + MAX_PROMOTION_LAG_ENTRIES >= context.commitIndex()
                && progress.matchIndex() > 0;
    }

    /** Takes a new folder of a node that the settings name as voter in as learner. */
    void onJoinRequest(VoterId voterId, NodeId nodeId) {
        boolean isWanted =
                context.settings().voterNodes().contains(nodeId) && !membership().contains(voterId);
        if (isWanted && leaderState.isMembershipCommitted() && hasNoActiveMember(nodeId)) {
            append(membership().withMember(new ReplicaMember(voterId, nodeId, false)));
        }
    }

    /**
     * Replaces identities that lost their folder by caught-up learners of the same node.
     *
     * <p>The silent identity is removed first: it gives the group no more tolerance of failures,
     * whereas promoting first would raise the majority.
     */
    void tick() {
        if (!leaderState.isMembershipCommitted()) {
            return;
        }
        for (ReplicaMember member : membership().members()) {
            if (isSuperseded(member)) {
                append(membership().withoutMember(member.voterId()));
                return;
            }
            if (isPromotable(member)) {
                append(
                        membership()
                                .withMember(
                                        new ReplicaMember(
                                                member.voterId(), member.nodeId(), true)));
                return;
            }
        }
    }

    private boolean isPromotable(ReplicaMember member) {
        return !member.isVoter()
                && context.settings().voterNodes().contains(member.nodeId())
                && membership().membersOnNode(member.nodeId()).size() == 1
                && isCaughtUp(member.voterId());
    }

    private boolean isSuperseded(ReplicaMember member) {
        List<ReplicaMember> sameNode = membership().membersOnNode(member.nodeId());
        ReplicaMember latest = sameNode.get(sameNode.size() - 1);
        return !latest.equals(member)
                && !leaderState.isRecentlyActive(member.voterId())
                && (!member.isVoter() || isCaughtUp(latest.voterId()));
    }

    private boolean hasNoActiveMember(NodeId nodeId) {
        return membership().membersOnNode(nodeId).stream()
                .map(ReplicaMember::voterId)
                .noneMatch(leaderState::isRecentlyActive);
    }
}
