package org.cardamomthread.daemon.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.view.GatewayView;

/**
 * Holds a request that has passed the route, API key and quota checks. Immutable.
 *
 * @param head the metadata decoded from the request headers
 * @param view the view by which it was admitted
 * @param route the matching route
 * @param service the service selected from the route by weight
 * @param account the client account that owns its key, or empty on a public route
 * @param quotaAmount the quota units taken from the account
 * @param receivedMs when the request was completely received, in monotonic milliseconds
 * @param deadlineMs when the response must be complete, in monotonic milliseconds
 */
record AdmittedRequest(
        RequestHead head,
        GatewayView view,
        TrafficRoute route,
        TrafficService service,
        Optional<TrafficAccount> account,
        double quotaAmount,
        long receivedMs,
        long deadlineMs) {

    private static final int LOWEST_PRIORITY = 9;

    /**
     * Returns the priority passed to a model engine, where 0 is the highest, or empty for services
     * without an engine. The account's priority overrides that of the route.
     */
    OptionalInt enginePriority() {
        if (!service.isModel()) {
            return OptionalInt.empty();
        }
        return OptionalInt.of(priorityLevel());
    }

    /** Returns the priority, 0 to 9, where 0 is the most urgent. */
    int priorityLevel() {
        int priority =
                account.flatMap(
                                owner ->
                                        owner.priority().isPresent()
                                                ? Optional.of(owner.priority().getAsInt())
                                                : Optional.empty())
                        .orElse(route.priority());
        return Math.max(0, Math.min(LOWEST_PRIORITY, priority));
    }

    /** Returns whether a version is the one that the service's traffic moves to. */
    boolean isCanary(VersionId version) {
        VersionMoveState move = view.versionMoves().get(service.id());
        return move != null
                && (move.getStage() == MoveStage.RUNNING || move.getStage() == MoveStage.PROMOTED)
                && move.getTarget().equals(version.value());
    }

    /**
     * Returns the id of the prompt part that other requests are likely to share, which is the last
     * but one, or empty if there is none.
     */
    Optional<String> affinityKey() {
        int parts = head.promptParts().size();
        if (!service.isModel() || parts == 0) {
            return Optional.empty();
        }
        PromptPart shared = head.promptParts().get(Math.max(0, parts - 2));
        return Optional.of(shared.id());
    }
}
