package org.cardamomthread.policy.admission;

import java.util.Objects;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Describes a request that waits for its turn.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the request
 * @param account the client account that pays its share
 * @param priority how soon it must start
 * @param cost work that it causes, in tokens or any other unit that all requests share, above zero
 * @param latestStartMs monotonic time after which it is no use to start it, in milliseconds
 */
public record QueuedRequest(
        RequestId id, ClientAccountId account, Priority priority, double cost, long latestStartMs) {

    /** Checks the parts. */
    public QueuedRequest {
        Objects.requireNonNull(id, "id must be given");
        Objects.requireNonNull(account, "account must be given");
        Objects.requireNonNull(priority, "priority must be given");
        if (!(cost > 0)) {
            throw new IllegalArgumentException("cost " + cost + " must be above 0");
        }
    }
}
