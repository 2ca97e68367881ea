package org.cardamomthread.configuration.settings;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/**
 * Holds the initial voters of each replication group.
 *
 * <p>Immutable and thread-safe.
 *
 * @param configuration initial voters of the group that replicates the configuration
 * @param work initial voters of the group that replicates claims and jobs
 */
public record BootstrapVoters(List<NodeId> configuration, List<NodeId> work) {
    /** Makes immutable copies of the lists. */
    public BootstrapVoters {
        configuration = List.copyOf(configuration);
        work = List.copyOf(work);
    }
}
