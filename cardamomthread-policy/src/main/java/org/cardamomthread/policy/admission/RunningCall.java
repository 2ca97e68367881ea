package org.cardamomthread.policy.admission;

import java.util.Objects;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Describes a running call that may be preempted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifier of the request
 * @param endpoint endpoint that executes the call
 * @param priority priority of the call
 * @param resumable whether the endpoint can resume the call later without repeating work
 * @param processedTokens number of tokens that would be processed again if the call is not
 *     resumable, at least zero
 * @param slackMs time by which the call may be delayed without missing its deadline, in
 *     milliseconds
 */
public record RunningCall(
        RequestId id,
        EndpointId endpoint,
        Priority priority,
        boolean resumable,
        long processedTokens,
        long slackMs) {

    /** Validates the components. */
    public RunningCall {
        Objects.requireNonNull(id, "id must not be null");
        Objects.requireNonNull(endpoint, "endpoint must not be null");
        Objects.requireNonNull(priority, "priority must not be null");
    }
}
