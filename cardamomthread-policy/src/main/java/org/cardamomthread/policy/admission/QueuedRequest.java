package org.cardamomthread.policy.admission;

import java.util.Objects;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Describes a request that waits in a queue.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifier of the request
 * @param account client account that is charged for the request
 * @param priority priority of the request
 * @param cost work that the request causes, in tokens or another unit common to all requests, above
 *     zero
 * @param latestStartMs monotonic time from which on the request can no longer start in time, in
 *     milliseconds
 */
public record QueuedRequest(
        RequestId id, ClientAccountId account, Priority priority, double cost, long latestStartMs) {

    /** Validates the components. */
    public QueuedRequest {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(account, "account must not be null");
        Objects.requireNonNull(priority, "priority must not be null");
        if (!(cost > 0)) {
            throw new IllegalArgumentException("cost " + cost + " must be greater than 0");
        }
    }
}
