package org.cardamomthread.daemon.gateway;

import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.profile.Priority;
import org.cardamomthread.policy.profile.TrafficProfile;
import org.cardamomthread.policy.routing.PromptPrefix;
import org.cardamomthread.policy.routing.SelectionRequest;

/** Describes attempts to the endpoint selector. Stateless, safe for use by several threads. */
final class SelectionRequestFactory {

    /** Characters of a prompt that endpoints cache as one block. */
    static final int CHARACTERS_PER_BLOCK = 256;

    private static final int TOKENS_PER_BLOCK = CHARACTERS_PER_BLOCK / 4;

    SelectionRequest create(PlacementRequest request, VersionId version, Set<EndpointId> excluded) {
        TrafficClass traffic = request.target().traffic();
        TrafficProfile profile =
                new TrafficProfile(
                        traffic.isUrgent() ? Priority.URGENT : Priority.PATIENT,
                        traffic.firstTokenTargetMs(),
                        traffic.tokenGapTargetMs(),
                        traffic.priceWeight(),
                        traffic.riskWeight());
        PromptPrefix prefix =
                request.prompt().isEmpty()
                        ? PromptPrefix.EMPTY
                        : PromptPrefix.ofText(
                                request.prompt(), CHARACTERS_PER_BLOCK, TOKENS_PER_BLOCK);
        return new SelectionRequest(
                profile, version, request.promptTokens(), request.outputTokens(), prefix, excluded);
    }
}
