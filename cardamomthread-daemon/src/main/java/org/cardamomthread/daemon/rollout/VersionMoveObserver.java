package org.cardamomthread.daemon.rollout;

import java.util.Optional;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.gateway.AttemptObserver;
import org.cardamomthread.daemon.gateway.AttemptReport;
import org.cardamomthread.daemon.gateway.CallTarget;
import org.cardamomthread.membership.endpoint.EndpointState;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.policy.rollout.CallObservation;
import org.cardamomthread.policy.rollout.VersionRole;

/** Records the outcome of attempts on services that have a running version move. Thread-safe. */
public final class VersionMoveObserver implements AttemptObserver {

    private final RolloutService rollout;
    private final TimeSource timeSource;

    /**
     * Creates an observer.
     *
     * @param rollout the running version moves
     * @param timeSource the node's clock
     */
    public VersionMoveObserver(RolloutService rollout, TimeSource timeSource) {
        this.rollout = rollout;
        this.timeSource = timeSource;
    }

    @Override
    public void onAttemptEnded(
            CallTarget target, EndpointSnapshot endpoint, VersionId version, AttemptReport report) {
        Optional<VersionMoveTracker> tracker = rollout.findTracker(target.service());
        if (tracker.isEmpty() || report.isAbandoned()) {
            return;
        }
        VersionMove move = tracker.get().getMove();
        boolean isNewVersion = version.equals(move.to());
        if (!isNewVersion && !version.equals(move.from())) {
            return;
        }
        CallObservation observation =
                new CallObservation(
                        report.isFailed(),
                        endpoint.description().state() == EndpointState.READY,
                        report.firstByteMs() > target.traffic().firstTokenTargetMs(),
                        report.meanTokenGapMs() > target.traffic().tokenGapTargetMs());
        tracker.get()
                .record(
                        target.route(),
                        isNewVersion ? VersionRole.NEW : VersionRole.OLD,
                        observation,
                        timeSource.millis());
    }
}
