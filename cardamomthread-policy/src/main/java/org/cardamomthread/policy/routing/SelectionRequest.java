package org.cardamomthread.policy.routing;

import java.util.Objects;
import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.profile.TrafficProfile;

/**
 * Describes a request for which an endpoint is to be selected.
 *
 * <p>Immutable and thread-safe.
 *
 * @param profile latency, cost and risk that the traffic accepts
 * @param version version that has to serve the request
 * @param promptTokens number of tokens in the prompt, at least zero; zero for services that are not
 *     models
 * @param expectedOutputTokens number of tokens expected in the response, at least zero
 * @param prefix hashes of the leading blocks of the prompt
 * @param excluded endpoints that must not be selected, such as those already tried
 */
public record SelectionRequest(
        TrafficProfile profile,
        VersionId version,
        int promptTokens,
        int expectedOutputTokens,
        PromptPrefix prefix,
        Set<EndpointId> excluded) {

    /** Validates the components. */
    public SelectionRequest {
        Objects.requireNonNull(profile, "profile must not be null");
        Objects.requireNonNull(version, "version must not be null");
        Objects.requireNonNull(prefix, "prefix must not be null");
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
