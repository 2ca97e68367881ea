package org.cardamomthread.policy.routing;

import java.util.Objects;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.profile.TrafficProfile;

/**
 * Describes a request for which an endpoint is chosen.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param profile what the traffic accepts
 * @param version the version that has to serve it
 * @param promptTokens tokens of the prompt, at least zero; zero for plain services
 * @param expectedOutputTokens tokens expected in the answer, at least zero
 * @param prefix leading blocks of the prompt
 * @param excluded endpoints that must not be chosen, such as those already tried
 */
public record SelectionRequest(
        TrafficProfile profile,
        VersionId version,
        int promptTokens,
        int expectedOutputTokens,
        PromptPrefix prefix,
        Set<EndpointId> excluded) {

    /** Checks the parts. */
    public SelectionRequest {
        Objects.requireNonNull(profile, "profile must be given");
        Objects.requireNonNull(version, "version must be given");
        Objects.requireNonNull(prefix, "prefix must be given");
        excluded = Set.copyOf(excluded);
        if (promptTokens < 0 || expectedOutputTokens < 0) {
            throw new IllegalArgumentException(
                    "promptTokens "
                            + promptTokens
                            + " and expectedOutputTokens "
                            + expectedOutputTokens
                            + " must be 0 or more");
        }
    }
}
