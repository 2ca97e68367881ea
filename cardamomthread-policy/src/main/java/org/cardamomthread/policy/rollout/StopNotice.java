package org.cardamomthread.policy.rollout;

import java.util.Objects;
import org.cardamomthread.core.id.NodeId;

/**
 * Records that an observer stopped the new version of a rollout.
 *
 * <p>Immutable and thread-safe. If several observers stop a version, the notice of the node with
 * the smallest identifier is kept, so that all nodes agree.
 *
 * @param observer node that stopped the version
 * @param reason reason for the stop
 */
public record StopNotice(NodeId observer, RolloutReason reason) {

    /** Validates the components. */
    public StopNotice {
        Objects.requireNonNull(observer, "observer must not be null");
        Objects.requireNonNull(reason, "reason must not be null");
    }

    StopNotice merge(StopNotice other) {
        return observer.compareTo(other.observer) <= 0 ? this : other;
    }
}
