package org.cardamomthread.configuration.settings;

import java.util.List;
import org.cardamomthread.core.id.NodeId;

/**
 * Names the first voters of each replicated group.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param configuration voters of the configuration group
 * @param work voters of the group for claims and jobs
 */
public record BootstrapVoters(List<NodeId> configuration, List<NodeId> work) {
    /** Copies the lists. */
    public BootstrapVoters {
        configuration = List.copyOf(configuration);
        work = List.copyOf(work);
    }
}
