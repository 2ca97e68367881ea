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
final class MemberChanges {

    private static final long MAX_PROMOTION_LAG_ENTRIES = 64;

    private final ReplicaContext context;
    private final Leadership leadership;

    MemberChanges(ReplicaContext context, Leadership leadership) {
        this.context = context;
        this.leadership = leadership;
    }

    private Members members() {
        return context.log().members();
    }

    long addLearner(VoterId voterId, NodeId nodeId) throws MembershipChangeException {
        requireSettled();
        require(
                !members().contains(voterId),
                "\"" + voterId + "\" is a member already; look at the status");
        return append(members().with(new ReplicaMember(voterId, nodeId, false)));
    }

    long promote(VoterId voterId) throws MembershipChangeException {
        requireSettled();
        ReplicaMember member = requireMember(voterId);
        require(!member.isVoter(), "\"" + voterId + "\" is a voter already; nothing to do");
        require(
                isCaughtUp(voterId),
                "\"" + voterId + "\" lacks entries; wait until its match index has caught up");
        return append(members().with(new ReplicaMember(voterId, member.nodeId(), true)));
    }

    long remove(VoterId voterId) throws MembershipChangeException {
        requireSettled();
        ReplicaMember member = requireMember(voterId);
        require(
                !member.isVoter() || members().voters().size() > 1,
                "\"" + voterId + "\" is the only voter; add another one first");
        return append(members().without(voterId));
    }

    private ReplicaMember requireMember(VoterId voterId) throws MembershipChangeException {
        return members()
                .find(voterId)
                .orElseThrow(
                        () ->
                                new MembershipChangeException(
                                        "\""
                                                + voterId
                                                + "\" is not a member; take the identity from the"
                                                + " status"));
    }

    private void requireSettled() throws MembershipChangeException {
        require(
                leadership.isMembershipSettled(),
                "the former change of membership is not committed; retry when it is");
    }

    private static void require(boolean condition, String message)
            throws MembershipChangeException {
        if (!condition) {
            throw new MembershipChangeException(message);
        }
    }

    private long append(Members changed) {
        return leadership.append(EntryKind.MEMBERSHIP, changed.toMessage().toByteString());
    }

    private boolean isCaughtUp(VoterId voterId) {
        Progress progress = leadership.of(voterId);
        return progress != null
                && progress.mode() == Progress.Mode.REPLICATE
                && leadership.isActive(voterId)
                && progress.matchIndex() + MAX_PROMOTION_LAG_ENTRIES >= context.commitIndex()
                && progress.matchIndex() > 0;
    }

    /** Takes a new folder of a node that the settings name as voter in as learner. */
    void onJoinRequest(VoterId voterId, NodeId nodeId) {
        boolean isWanted =
                context.settings().voterNodes().contains(nodeId) && !members().contains(voterId);
        if (isWanted && leadership.isMembershipSettled() && isAbsent(nodeId)) {
            append(members().with(new ReplicaMember(voterId, nodeId, false)));
        }
    }

    /**
     * Replaces identities that lost their folder by caught-up learners of the same node.
     *
     * <p>The silent identity is removed first: it gives the group no more tolerance of failures,
     * whereas promoting first would raise the majority.
     */
    void tick() {
        if (!leadership.isMembershipSettled()) {
            return;
        }
        for (ReplicaMember member : members().list()) {
            if (isReplaced(member)) {
                append(members().without(member.voterId()));
                return;
            }
            if (isPromotable(member)) {
                append(members().with(new ReplicaMember(member.voterId(), member.nodeId(), true)));
                return;
            }
        }
    }

    private boolean isPromotable(ReplicaMember member) {
        return !member.isVoter()
                && context.settings().voterNodes().contains(member.nodeId())
                && members().on(member.nodeId()).size() == 1
                && isCaughtUp(member.voterId());
    }

    private boolean isReplaced(ReplicaMember member) {
        List<ReplicaMember> sameNode = members().on(member.nodeId());
        ReplicaMember latest = sameNode.get(sameNode.size() - 1);
        return !latest.equals(member)
                && !leadership.isActive(member.voterId())
                && (!member.isVoter() || isCaughtUp(latest.voterId()));
    }

    private boolean isAbsent(NodeId nodeId) {
        return members().on(nodeId).stream()
                .map(ReplicaMember::voterId)
                .noneMatch(leadership::isActive);
    }
}
