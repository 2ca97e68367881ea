package org.cardamomthread.policy.rollout;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;

/**
 * Records that an observer stopped a version.
 *
 * <p>Immutable and safe for use by several threads. Notices are ordered by node, so that all nodes
 * keep the same one of several.
 *
 * @param observer the node that stopped the version
 * @param reason why
 */
public record StopNotice(NodeId observer, RolloutReason reason) {

    /** Checks the parts. */
    public StopNotice {
        Objects.requireNonNull(observer, "observer must be given");
        Objects.requireNonNull(reason, "reason must be given");
    }

    StopNotice join(StopNotice other) {
        return observer.compareTo(other.observer) <= 0 ? this : other;
    }
}
