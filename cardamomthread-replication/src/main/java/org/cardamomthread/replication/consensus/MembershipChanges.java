package org.cardamomthread.replication.consensus;

import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.MembershipChangeException;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.VoterReplacement;
import org.cardamomthread.replication.generated.EntryKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Changes the membership of a group, one member at a time, during one term of a leader.
 *
 * <p>Invariants: a change starts only after the previous change and an entry of the current term
 * are committed; only a learner that holds nearly the whole log becomes a voter; a silent voter,
 * whose folder may still exist, is removed only from an even number of voters, so that the number
 * of lost folders that the group outlives never decreases. Not thread-safe.
 */
final class MembershipChanges {

    private static final long MAX_PROMOTION_LAG_ENTRIES = 64;

    /** The fewest voters that outlive the loss of one. */
    private static final int SMALLEST_REDUNDANT_GROUP = 3;

    private static final Logger LOG = LoggerFactory.getLogger(MembershipChanges.class);

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
                "\""
                        + voterId
                        + "\" is already a member; check the membership in the group's status");
        return append(membership().withMember(new ReplicaMember(voterId, nodeId, false)));
    }

    long promote(VoterId voterId) throws MembershipChangeException {
        requireMembershipCommitted();
        ReplicaMember member = requireMember(voterId);
        require(!member.isVoter(), "\"" + voterId + "\" is already a voter; no change is needed");
        require(
                isCaughtUp(voterId),
                "\""
                        + voterId
                        + "\" has not caught up with the log; retry once it has nearly"
                        + " all entries");
        return append(membership().withMember(new ReplicaMember(voterId, member.nodeId(), true)));
    }

    long remove(VoterId voterId) throws MembershipChangeException {
        requireMembershipCommitted();
        ReplicaMember member = requireMember(voterId);
        require(
                !member.isVoter() || membership().voters().size() > 1,
                "\"" + voterId + "\" is the only voter; add and promote another member first");
        require(
                !member.isVoter() || !isEachVoterNeeded(),
                "without \""
                        + voterId
                        + "\" the group would outlive fewer lost folders; stop its node instead,"
                        + " and another one takes its place");
        return append(membership().withoutMember(voterId));
    }

    private ReplicaMember requireMember(VoterId voterId) throws MembershipChangeException {
        return membership()
                .findMember(voterId)
                .orElseThrow(
                        () ->
                                new MembershipChangeException(
                                        "\""
                                                + voterId
                                                + "\" is not a member; use an identity from the"
                                                + " group's status"));
    }

    private void requireMembershipCommitted() throws MembershipChangeException {
        require(
                leaderState.isMembershipCommitted(),
                "the previous membership change or the leader's first entry is not committed yet;"
                        + " retry later");
    }

    private static void require(boolean condition, String message)
            throws MembershipChangeException {
        if (!condition) {
            throw new MembershipChangeException(message);
        }
    }

    private long append(GroupMembership newMembership) {
        return leaderState.append(EntryKind.MEMBERSHIP, newMembership.toMessage().toByteString());
    }

    private boolean isCaughtUp(VoterId voterId) {
        MemberProgress progress = leaderState.progressOf(voterId);
        return progress != null
                && progress.mode() == MemberProgress.Mode.REPLICATE
                && leaderState.isRecentlyActive(voterId)
                && progress.matchIndex() + MAX_PROMOTION_LAG_ENTRIES >= context.commitIndex()
                && progress.matchIndex() > 0;
    }

    /** Adds a folder as a learner if its node may vote and has no active member. */
    void onJoinRequest(VoterId voterId, NodeId nodeId) {
        if (!membership().contains(voterId)
                && leaderState.isMembershipCommitted()
                && hasNoActiveMember(nodeId)
                && mayJoin(nodeId)) {
            append(membership().withMember(new ReplicaMember(voterId, nodeId, false)));
            logChange("member-added", voterId, nodeId);
        }
    }

    private boolean mayJoin(NodeId nodeId) {
        Optional<VoterReplacement> replacement = context.settings().voterReplacement();
        if (replacement.isEmpty()) {
            return context.settings().voterNodes().contains(nodeId);
        }
        long presentMembers =
                membership().members().stream().filter(member -> !isGone(member)).count();
        return !membership().membersOnNode(nodeId).isEmpty()
                || presentMembers < replacement.get().voterCount();
    }

    private boolean isGone(ReplicaMember member) {
        return context.settings()
                .voterReplacement()
                .filter(r -> leaderState.isSilentFor(member.voterId(), r.absenceMs()))
                .isPresent();
    }

    /**
     * Promotes caught-up learners to vacant places, and removes members that have a replacement.
     *
     * <p>The successor of a silent voter is promoted before that voter is removed, because the
     * silent voter's folder counts if another folder is lost meanwhile. A voter that is superseded
     * by another folder of its node never returns and is removed first: it adds no fault tolerance,
     * whereas promoting first would increase the size of a majority.
     */
    void tick() {
        if (!leaderState.isMembershipCommitted()) {
            return;
        }
        List<ReplicaMember> members = membership().members();
        Optional<ReplicaMember> promotable =
                members.stream().filter(this::isPromotable).findFirst();
        if (promotable.isPresent()) {
            ReplicaMember learner = promotable.get();
            append(
                    membership()
                            .withMember(
                                    new ReplicaMember(learner.voterId(), learner.nodeId(), true)));
            logChange("member-promoted", learner.voterId(), learner.nodeId());
            return;
        }
        members.stream()
                .filter(member -> isSuperseded(member) || isRemovableWhenGone(member))
                .findFirst()
                .or(this::findSurplusVoter)
                .ifPresent(
                        member -> {
                            append(membership().withoutMember(member.voterId()));
                            logChange("member-removed", member.voterId(), member.nodeId());
                        });
    }

    private void logChange(String event, VoterId voterId, NodeId nodeId) {
        LOG.atInfo()
                .addKeyValue("event", event)
                .addKeyValue("group", context.self().groupId())
                .addKeyValue("term", context.term())
                .addKeyValue("member", voterId)
                .addKeyValue("node", nodeId)
                .addKeyValue("members", membership().members())
                .log("changing the members of the group");
    }

    private boolean isPromotable(ReplicaMember member) {
        return isReadyLearner(member) && mayVote(member.nodeId());
    }

    private boolean isReadyLearner(ReplicaMember member) {
        return !member.isVoter()
                && membership().membersOnNode(member.nodeId()).size() == 1
                && isCaughtUp(member.voterId());
    }

    private boolean mayVote(NodeId nodeId) {
        return context.settings()
                .voterReplacement()
                .map(replacement -> hasVacantPlace(replacement.voterCount()))
                .orElseGet(() -> context.settings().voterNodes().contains(nodeId));
    }

    /**
     * Returns whether one more voter is wanted. From three voters on they grow by two at a time: an
     * even number outlives no more losses. The successor of a silent voter makes their number even
     * until that voter is removed.
     */
    private boolean hasVacantPlace(int voterCount) {
        int voters = membership().voters().size();
        if (voters < voterCount && (hasEvenVoterCount() || voters < SMALLEST_REDUNDANT_GROUP)) {
            return true;
        }
        return !hasEvenVoterCount()
                && (membership().voters().stream().anyMatch(this::isGone)
                        || (voters < voterCount
                                && membership().members().stream()
                                                .filter(this::isReadyLearner)
                                                .count()
                                        > 1));
    }

    /** Returns whether fewer voters than intended would outlive the loss of fewer folders. */
    private boolean isEachVoterNeeded() {
        return !hasEvenVoterCount()
                && context.settings()
                        .voterReplacement()
                        .filter(r -> membership().voters().size() <= r.voterCount())
                        .isPresent();
    }

    private boolean hasEvenVoterCount() {
        return membership().voters().size() % 2 == 0;
    }

    /**
     * Returns whether a member is gone and not needed. An even number of voters, less one, outlives
     * the loss of as many folders; an odd one does not.
     */
    private boolean isRemovableWhenGone(ReplicaMember member) {
        boolean isNeeded =
                member.isVoter()
                        && (!hasEvenVoterCount()
                                || membership().voters().size() < SMALLEST_REDUNDANT_GROUP);
        return !isNeeded && isGone(member);
    }

    /**
     * Returns the newest of more voters than intended if all of them respond, as when a silent
     * voter has returned after the promotion of its successor.
     */
    private Optional<ReplicaMember> findSurplusVoter() {
        List<ReplicaMember> voters = membership().voters();
        boolean isSurplus =
                hasEvenVoterCount()
                        && context.settings()
                                .voterReplacement()
                                .filter(replacement -> voters.size() > replacement.voterCount())
                                .isPresent()
                        && voters.stream()
                                .map(ReplicaMember::voterId)
                                .allMatch(leaderState::isRecentlyActive);
        return !isSurplus
                ? Optional.empty()
                : voters.stream()
                        .filter(voter -> !voter.voterId().equals(context.self().voterId()))
                        .reduce((earlier, later) -> later);
    }

    private boolean isSuperseded(ReplicaMember member) {
        List<ReplicaMember> membersOfNode = membership().membersOnNode(member.nodeId());
        ReplicaMember latestMember = membersOfNode.get(membersOfNode.size() - 1);
        return !latestMember.equals(member)
                && !leaderState.isRecentlyActive(member.voterId())
                && (!member.isVoter() || isCaughtUp(latestMember.voterId()));
    }

    private boolean hasNoActiveMember(NodeId nodeId) {
        return membership().membersOnNode(nodeId).stream()
                .map(ReplicaMember::voterId)
                .noneMatch(leaderState::isRecentlyActive);
    }
}
