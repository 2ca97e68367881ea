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
 * Lists the members of a group in the order in which they joined. Immutable.
 *
 * @param list the members
 */
public record Members(List<ReplicaMember> list) {

    /** Copies the list. */
    public Members {
        list = List.copyOf(list);
    }

    static Members of(Membership membership) {
        return new Members(
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
        for (ReplicaMember member : list) {
            builder.addMembers(
                    GroupMember.newBuilder()
                            .setVoterId(member.voterId().value())
                            .setNodeId(member.nodeId().value())
                            .setRole(member.isVoter() ? MemberRole.VOTER : MemberRole.LEARNER));
        }
        return builder.build();
    }

    Optional<ReplicaMember> find(VoterId voterId) {
        return list.stream().filter(member -> member.voterId().equals(voterId)).findFirst();
    }

    boolean contains(VoterId voterId) {
        return find(voterId).isPresent();
    }

    boolean isVoter(VoterId voterId) {
        return find(voterId).map(ReplicaMember::isVoter).orElse(false);
    }

    List<ReplicaMember> voters() {
        return list.stream().filter(ReplicaMember::isVoter).toList();
    }

    List<ReplicaMember> on(NodeId nodeId) {
        return list.stream().filter(member -> member.nodeId().equals(nodeId)).toList();
    }

    int majority() {
        return voters().size() / 2 + 1;
    }

    Members with(ReplicaMember added) {
        List<ReplicaMember> changed = new ArrayList<>(list);
        changed.removeIf(member -> member.voterId().equals(added.voterId()));
        changed.add(added);
        return new Members(changed);
    }

    Members without(VoterId voterId) {
        return new Members(
                list.stream().filter(member -> !member.voterId().equals(voterId)).toList());
    }
}
