package org.cardamomthread.daemon.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cardamomthread.configuration.traffic.generated.EndMove;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.view.GatewayReports;
import org.cardamomthread.daemon.view.ViewServer;
import org.cardamomthread.daemon.view.generated.VersionCounts;

/**
 * Ends version moves: rolls a bad target version back immediately, and moves all traffic to a
 * target that showed no regression during its canary phase. Runs on the control thread of the
 * leader.
 */
public final class VersionMoveController {

    /**
     * Fraction of a move's duration used for the canary phase; the rest is for requests on the old
     * version to finish.
     */
    private static final double CANARY_FRACTION = 0.6;

    /**
     * Fraction of a move's duration after which a completed move is reported as done, when requests
     * on the old version have finished.
     */
    private static final double COMPLETION_FRACTION = 0.9;

    private static final Duration RUN_INTERVAL = Duration.ofMillis(250);
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(2);

    private final ControllerLease lease;
    private final ViewServer viewServer;
    private final GatewayReports gatewayReports;
    private final TrafficReplica replica;
    private final ProposalClient proposals;
    private final TimeSource timeSource;
    private final DecisionLog log;

    /** Results of the other versions when each move was first evaluated. */
    private final Map<String, VersionCounts> baselines = new HashMap<>();

    /**
     * Creates the controller; {@link #start} schedules it.
     *
     * @param lease determines whether this node may act
     * @param viewServer determines whether the gateways' reports are complete
     * @param gatewayReports supplies the results by version
     * @param replica supplies the version moves
     * @param proposals proposes commands to the replicated log
     * @param timeSource supplies the wall clock time
     * @param log receives an entry for each move that ends
     */
    public VersionMoveController(
            ControllerLease lease,
            ViewServer viewServer,
            GatewayReports gatewayReports,
            TrafficReplica replica,
            ProposalClient proposals,
            TimeSource timeSource,
            DecisionLog log) {
        this.lease = lease;
        this.viewServer = viewServer;
        this.gatewayReports = gatewayReports;
        this.replica = replica;
        this.proposals = proposals;
        this.timeSource = timeSource;
        this.log = log;
    }

    /**
     * Schedules the controller.
     *
     * @param controlThread the thread on which it runs
     */
    public void start(ControlThread controlThread) {
        controlThread.scheduleWithFixedDelay(RUN_INTERVAL.toMillis(), this::run);
    }

    /**
     * Returns whether a completed move may be reported as done, because no requests are left on the
     * old version.
     *
     * @param move a move whose stage is {@code DONE}
     * @param nowMs the wall clock time, in milliseconds since 1970
     * @return true once the old version may be stopped
     */
    public static boolean mayReportDone(VersionMoveState move, long nowMs) {
        long reportableFromMs =
                move.getStartedAtMs() + (long) (COMPLETION_FRACTION * move.getDurationMs());
        return nowMs >= reportableFromMs;
    }

    private void run() {
        List<VersionMoveState> moves = replica.getState().getMovesList();
        if (moves.isEmpty() || lease.currentHolder().isEmpty() || !viewServer.isSettled()) {
            return;
        }
        for (VersionMoveState move : moves) {
            if (move.getStage() == MoveStage.RUNNING) {
                evaluate(move);
            }
        }
    }

    private void evaluate(VersionMoveState move) {
        VersionCounts canary =
                gatewayReports.sumVersionResults(move.getService(), move.getTarget());
        VersionCounts former =
                gatewayReports.sumOtherVersionResults(move.getService(), move.getTarget());
        VersionCounts baseline =
                baselines.computeIfAbsent(
                        move.getService() + " " + move.getTarget() + " " + move.getStartedAtMs(),
                        key -> former);
        VersionCounts formerDuringMove =
                former.getAnswers() >= baseline.getAnswers() ? subtract(former, baseline) : former;
        if (CanaryEvaluator.isRegression(canary, formerDuringMove)) {
            endVersionMove(move, MoveStage.TAKEN_BACK, canary, formerDuringMove);
            return;
        }
        long elapsedMs = timeSource.millis() - move.getStartedAtMs();
        if (elapsedMs >= CANARY_FRACTION * move.getDurationMs() && canary.getAnswers() > 0) {
            endVersionMove(move, MoveStage.DONE, canary, formerDuringMove);
        }
    }

    private void endVersionMove(
            VersionMoveState move, MoveStage stage, VersionCounts canary, VersionCounts former) {
        log.log(
                "move-ended",
                "service",
                move.getService(),
                "target",
                move.getTarget(),
                "stage",
                stage,
                "trialAnswers",
                canary.getAnswers(),
                "trialFailures",
                canary.getFailures(),
                "trialTotalMs",
                canary.getTotalMs(),
                "formerAnswers",
                former.getAnswers(),
                "formerFailures",
                former.getFailures(),
                "formerTotalMs",
                former.getTotalMs());
        EndMove command =
                EndMove.newBuilder()
                        .setService(move.getService())
                        .setTarget(move.getTarget())
                        .setStage(stage)
                        .setEndedAtMs(timeSource.millis())
                        .build();
        proposals.propose(
                GroupDefinition.TRAFFIC,
                TrafficCommand.newBuilder().setEndMove(command).build().toByteArray(),
                PROPOSAL_TIMEOUT);
    }

    private static VersionCounts subtract(VersionCounts total, VersionCounts baseline) {
        return total.toBuilder()
                .setAnswers(total.getAnswers() - baseline.getAnswers())
                .setFailures(Math.max(0, total.getFailures() - baseline.getFailures()))
                .setTotalMs(Math.max(0, total.getTotalMs() - baseline.getTotalMs()))
                .build();
    }
}
