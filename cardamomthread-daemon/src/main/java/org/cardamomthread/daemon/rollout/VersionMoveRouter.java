package org.cardamomthread.daemon.rollout;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.gateway.CallTarget;
import org.cardamomthread.daemon.gateway.VersionRouter;

/**
 * Splits a service's calls between the old and the new version of a running version move, or routes
 * them to the current version if there is none. A retry always goes to the old version, so that a
 * faulty new version costs a caller at most one failed attempt and never the response.
 *
 * <p>Thread-safe.
 */
public final class VersionMoveRouter implements VersionRouter {

    private final ConfigurationHolder configuration;
    private final RolloutService rollout;

    /**
     * Creates a router.
     *
     * @param configuration the active configuration
     * @param rollout the running version moves
     */
    public VersionMoveRouter(ConfigurationHolder configuration, RolloutService rollout) {
        this.configuration = configuration;
        this.rollout = rollout;
    }

    @Override
    public VersionId selectVersion(CallTarget target, boolean isRetry, RandomGenerator random) {
        ServiceId service = target.service();
        ConfigurationView view = configuration.getView();
        Optional<VersionMoveTracker> tracker = rollout.findTracker(service);
        if (tracker.isEmpty()) {
            return view.declarations().findService(service).orElseThrow().currentVersion();
        }
        VersionMove move = tracker.get().getMove();
        double share = tracker.get().getShare(target.route());
        boolean useNewVersion =
                !isRetry && !view.isStopped(service, move.to()) && random.nextDouble() < share;
        return useNewVersion ? move.to() : move.from();
    }
}
