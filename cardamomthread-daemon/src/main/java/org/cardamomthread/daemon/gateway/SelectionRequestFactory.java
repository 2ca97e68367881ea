package org.cardamomthread.daemon.gateway;

import java.util.Set;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.policy.profile.Priority;
import org.cardamomthread.policy.profile.TrafficProfile;
import org.cardamomthread.policy.routing.SelectionRequest;

/** Converts placement requests to requests for the endpoint selector. Stateless and thread-safe. */
final class SelectionRequestFactory {

    SelectionRequest create(PlacementRequest request, VersionId version, Set<EndpointId> excluded) {
        TrafficClass traffic = request.target().traffic();
        TrafficProfile profile =
                new TrafficProfile(
                        traffic.isUrgent() ? Priority.URGENT : Priority.PATIENT,
                        traffic.firstTokenTargetMs(),
                        traffic.tokenGapTargetMs(),
                        traffic.priceWeight(),
                        traffic.riskWeight());
        return new SelectionRequest(
                profile,
                version,
                request.promptTokens(),
                request.outputTokens(),
                request.prefix(),
                excluded);
    }
}
