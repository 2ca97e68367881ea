package org.cardamomthread.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;

/** Names the voters that the settings state. Immutable and thread-safe. */
final class FixedVoterDirectory implements VoterDirectory {

    private final Map<GroupId, List<NodeId>> votersByGroup;

    FixedVoterDirectory(List<GroupDefinition> definitions) {
        votersByGroup =
                definitions.stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        GroupDefinition::id, GroupDefinition::voters));
    }

    @Override
    public List<NodeId> voters(GroupId group) {
        return votersByGroup.getOrDefault(group, List.of());
    }

    @Override
    public void recordContact(NodeId node) {
        // The settings state the addresses of all nodes.
    }
}
