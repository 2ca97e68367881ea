package org.cardamomthread.replication.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.ReplicaMember;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.GroupMember;
import org.cardamomthread.replication.generated.MemberRole;
import org.cardamomthread.replication.generated.Membership;

/**
 * Lists the voters and learners of a group. Immutable.
 *
 * @param members the members in the order in which they joined
 */
public record GroupMembership(List<ReplicaMember> members) {

    /** Copies the list to keep the membership immutable. */
    public GroupMembership {
        members = List.copyOf(members);
    }

    static GroupMembership fromMessage(Membership membership) {
        return new GroupMembership(
                membership.getMembersList().stream()
                        .map(
                                member ->
                                        new ReplicaMember(
                                                new VoterId(member.getVoterId()),
                                                new NodeId(member.getNodeId()),
                                                member.getRole() == MemberRole.VOTER))
                        .toList());
    }

    Membership toMessage() {
        Membership.Builder builder = Membership.newBuilder();
        for (ReplicaMember member : members) {
            builder.addMembers(
                    GroupMember.newBuilder()
                            .setVoterId(member.voterId().value())
                            .setNodeId(member.nodeId().value())
                            .setRole(member.isVoter() ? MemberRole.VOTER : MemberRole.LEARNER));
        }
        return builder.build();
    }

    Optional<ReplicaMember> findMember(VoterId voterId) {
        return members.stream().filter(member -> member.voterId().equals(voterId)).findFirst();
    }

    boolean contains(VoterId voterId) {
        return findMember(voterId).isPresent();
    }

    boolean isVoter(VoterId voterId) {
        return findMember(voterId).map(ReplicaMember::isVoter).orElse(false);
    }

    List<ReplicaMember> voters() {
        return members.stream().filter(ReplicaMember::isVoter).toList();
    }

    List<ReplicaMember> membersOnNode(NodeId nodeId) {
        return members.stream().filter(member -> member.nodeId().equals(nodeId)).toList();
    }

    int majoritySize() {
        return voters().size() / 2 + 1;
    }

    GroupMembership withMember(ReplicaMember added) {
        List<ReplicaMember> result = new ArrayList<>(members);
        result.removeIf(member -> member.voterId().equals(added.voterId()));
        result.add(added);
        return new GroupMembership(result);
    }

    GroupMembership withoutMember(VoterId voterId) {
        return new GroupMembership(
                members.stream().filter(member -> !member.voterId().equals(voterId)).toList());
    }
}
