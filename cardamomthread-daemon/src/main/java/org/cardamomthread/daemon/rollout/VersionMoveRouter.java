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
 * Divides a service's calls between the versions of a running move, and sends them to the current
 * version otherwise. A further attempt goes to the old version, so that a bad new one costs a
 * caller one attempt and no answer.
 *
 * <p>Safe for use by several threads.
 */
public final class VersionMoveRouter implements VersionRouter {

    private final ConfigurationHolder configuration;
    private final RolloutService rollout;

    /**
     * Creates a router.
     *
     * @param configuration the configuration in force
     * @param rollout the version moves
     */
    public VersionMoveRouter(ConfigurationHolder configuration, RolloutService rollout) {
        this.configuration = configuration;
        this.rollout = rollout;
    }

    @Override
    public VersionId choose(CallTarget target, boolean isRetry, RandomGenerator random) {
        ServiceId service = target.service();
        ConfigurationView view = configuration.getView();
        Optional<VersionMoveTracker> watch = rollout.findTracker(service);
        if (watch.isEmpty()) {
            return view.declarations().findService(service).orElseThrow().currentVersion();
        }
        VersionMove move = watch.get().getMove();
        double share = watch.get().getShare(target.route());
        boolean isNew =
                !isRetry && !view.isStopped(service, move.to()) && random.nextDouble() < share;
        return isNew ? move.to() : move.from();
    }
}
