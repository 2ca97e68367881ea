package org.cardamomthread.policy.admission;

import java.util.Objects;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.policy.profile.Priority;

/**
 * Describes a call in execution that may be preempted.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param id the request
 * @param endpoint where it runs
 * @param priority how soon it had to start
 * @param resumable true if the endpoint can go on with it later without redoing work
 * @param processedTokens tokens that would be redone otherwise, at least zero
 * @param slackMs time that it may lose without missing its deadline, in milliseconds
 */
public record RunningCall(
        RequestId id,
        EndpointId endpoint,
        Priority priority,
        boolean resumable,
        long processedTokens,
        long slackMs) {

    /** Checks the parts. */
    public RunningCall {
        Objects.requireNonNull(id, "id must be given");
        Objects.requireNonNull(endpoint, "endpoint must be given");
        Objects.requireNonNull(priority, "priority must be given");
    }
}
