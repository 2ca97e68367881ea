package org.cardamomthread.daemon.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.ServiceId;

/**
 * Selects the version of a service that an attempt goes to while its traffic moves to another one.
 *
 * <p>A canary version first gets a few requests quickly, so that it can be judged in time also on a
 * service with little traffic, and then a share of them. Not thread-safe.
 */
final class VersionSelector {

    /** Part of the allowed share that is used, since the share is random for each request. */
    private static final double SHARE_IN_USE = 0.8;

    /** Part of the allowance that is used for the first requests. */
    private static final double ALLOWANCE_IN_USE = 0.5;

    /** Fraction of the requests sent to a canary version until it has got its first ones. */
    private static final double FIRST_REQUESTS_FRACTION = 0.5;

    private final CanaryAllocation allocation;
    private final RandomGenerator random;
    private final Map<ServiceId, CanaryProgress> progressByService = new HashMap<>();

    /** Counts the requests sent to the target version of one move. */
    private static final class CanaryProgress {
        private final String target;
        private final long startedAtMs;
        private int requests;

        CanaryProgress(VersionMoveState move) {
            target = move.getTarget();
            startedAtMs = move.getStartedAtMs();
        }

        boolean isOf(VersionMoveState move) {
            return target.equals(move.getTarget()) && startedAtMs == move.getStartedAtMs();
        }
    }

    VersionSelector(CanaryAllocation allocation, RandomGenerator random) {
        this.allocation = allocation;
        this.random = random;
    }

    /**
     * Returns those of the eligible endpoints that have the selected version.
     *
     * @param service the service of the endpoints
     * @param move the latest version move of the service, or null if there was none
     * @param gatewayCount the number of gateways, 0 if not known
     * @param eligible the endpoints that may take the request
     */
    List<TrackedEndpoint> select(
            ServiceId service,
            VersionMoveState move,
            int gatewayCount,
            List<TrackedEndpoint> eligible) {
        if (move == null) {
            return eligible;
        }
        Map<Boolean, List<TrackedEndpoint>> byTarget =
                eligible.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        endpoint ->
                                                endpoint.knownEndpoint()
                                                        .report()
                                                        .version()
                                                        .value()
                                                        .equals(move.getTarget())));
        List<TrackedEndpoint> onTarget = byTarget.get(true);
        List<TrackedEndpoint> onOtherVersions = byTarget.get(false);
        return switch (move.getStage()) {
            case PROMOTED, DONE -> onTarget.isEmpty() ? onOtherVersions : onTarget;
            case RUNNING -> {
                boolean isCanary =
                        !onTarget.isEmpty()
                                && (onOtherVersions.isEmpty()
                                        || isForCanary(service, move, gatewayCount));
                yield isCanary ? onTarget : onOtherVersions;
            }
            case TAKEN_BACK -> onOtherVersions;
            default -> eligible;
        };
    }

    private boolean isForCanary(ServiceId service, VersionMoveState move, int gatewayCount) {
        CanaryProgress progress =
                progressByService.compute(
                        service,
                        (id, known) ->
                                known != null && known.isOf(move)
                                        ? known
                                        : new CanaryProgress(move));
        double firstRequests =
                gatewayCount > 0 ? allocation.allowance() * ALLOWANCE_IN_USE / gatewayCount : 0;
        double fraction =
                progress.requests + 1 <= firstRequests
                        ? FIRST_REQUESTS_FRACTION
                        : allocation.share() * SHARE_IN_USE;
        if (random.nextDouble() >= fraction) {
            return false;
        }
        progress.requests++;
        return true;
    }
}
