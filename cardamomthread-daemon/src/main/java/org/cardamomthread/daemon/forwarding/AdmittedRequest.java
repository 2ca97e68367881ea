package org.cardamomthread.daemon.forwarding;

import java.util.Optional;
import java.util.OptionalInt;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.daemon.dialect.PromptPart;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.view.GatewayView;

/**
 * Holds a request that a route, a key and a quota have admitted. Immutable.
 *
 * @param head what the request says of itself
 * @param view the view that admitted it
 * @param route its route
 * @param service the service chosen among the route's
 * @param account the account of its key, or empty on a public route
 * @param quotaAmount what it took from the account's quota
 * @param receivedMs when it had arrived whole, monotonic milliseconds
 * @param deadlineMs when its answer must be complete, monotonic milliseconds
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

    /** Returns the rank that a model engine is told, 0 first, or empty for plain services. */
    OptionalInt enginePriority() {
        if (!service.isModel()) {
            return OptionalInt.empty();
        }
        int rank =
                account.flatMap(
                                known ->
                                        known.priority().isPresent()
                                                ? Optional.of(known.priority().getAsInt())
                                                : Optional.empty())
                        .orElse(route.priority());
        return OptionalInt.of(Math.max(0, Math.min(LOWEST_PRIORITY, rank)));
    }

    /** Names the part of the prompt that other requests share: the last but one. */
    Optional<String> affinityKey() {
        int parts = head.promptParts().size();
        if (!service.isModel() || parts == 0) {
            return Optional.empty();
        }
        PromptPart shared = head.promptParts().get(Math.max(0, parts - 2));
        return Optional.of(shared.id());
    }
}
