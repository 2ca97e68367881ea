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
 * Ends version moves: takes a bad version back at once, and moves all traffic to one that has not
 * shown itself bad during its trial. Runs on the control thread of the node that leads.
 */
public final class VersionMoveController {

    /** Part of a move's time that the trial takes; the rest is for requests on the old version. */
    private static final double CANARY_FRACTION = 0.6;

    /** Part of a move's time after which it is reported as done, when old requests have ended. */
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
    private final Map<String, VersionCounts> baselines = new HashMap<>();

    /**
     * Creates the duty.
     *
     * @param lease tells whether this node may act
     * @param views tells whether the gateways' reports are complete
     * @param reports the gateways' results
     * @param replica the moves
     * @param proposals reaches the replicated log
     * @param timeSource the clock
     * @param log writes verdicts
     */
    public VersionMoveController(
            ControllerLease lease,
            ViewServer views,
            GatewayReports reports,
            TrafficReplica replica,
            ProposalClient proposals,
            TimeSource timeSource,
            DecisionLog log) {
        this.lease = lease;
        this.viewServer = views;
        this.gatewayReports = reports;
        this.replica = replica;
        this.proposals = proposals;
        this.timeSource = timeSource;
        this.log = log;
    }

    /**
     * Begins to perform the duty.
     *
     * @param control runs it
     */
    public void start(ControlThread control) {
        control.repeat(RUN_INTERVAL.toMillis(), this::run);
    }

    /**
     * Tells whether a finished move may be reported as done: no request is left on the old version.
     *
     * @param move a move in the stage of having been done
     * @param nowMs the wall clock, in milliseconds since 1970
     * @return true once the old version may be stopped
     */
    public static boolean mayReportDone(VersionMoveState move, long nowMs) {
        long reportAtMs =
                move.getStartedAtMs() + (long) (COMPLETION_FRACTION * move.getDurationMs());
        return nowMs >= reportAtMs;
    }

    private void run() {
        List<VersionMoveState> moves = replica.getState().getMovesList();
        if (moves.isEmpty() || lease.current().isEmpty() || !viewServer.isSettled()) {
            return;
        }
        for (VersionMoveState move : moves) {
            if (move.getStage() == MoveStage.RUNNING) {
                evaluate(move);
            }
        }
    }

    private void evaluate(VersionMoveState move) {
        VersionCounts trial = gatewayReports.sumVersionResults(move.getService(), move.getTarget());
        VersionCounts former =
                gatewayReports.sumOtherVersionResults(move.getService(), move.getTarget());
        VersionCounts baseline =
                baselines.computeIfAbsent(
                        move.getService() + " " + move.getTarget() + " " + move.getStartedAtMs(),
                        key -> former);
        VersionCounts during =
                former.getAnswers() >= baseline.getAnswers() ? subtract(former, baseline) : former;
        if (CanaryEvaluator.isRegression(trial, during)) {
            end(move, MoveStage.TAKEN_BACK, trial, during);
            return;
        }
        long elapsedMs = timeSource.millis() - move.getStartedAtMs();
        if (elapsedMs >= CANARY_FRACTION * move.getDurationMs() && trial.getAnswers() > 0) {
            end(move, MoveStage.DONE, trial, during);
        }
    }

    private void end(
            VersionMoveState move, MoveStage stage, VersionCounts trial, VersionCounts former) {
        log.write(
                "move-ended",
                "service",
                move.getService(),
                "target",
                move.getTarget(),
                "stage",
                stage,
                "trialAnswers",
                trial.getAnswers(),
                "trialFailures",
                trial.getFailures(),
                "trialTotalMs",
                trial.getTotalMs(),
                "formerAnswers",
                former.getAnswers(),
                "formerFailures",
                former.getFailures(),
                "formerTotalMs",
                former.getTotalMs());
        EndMove order =
                EndMove.newBuilder()
                        .setService(move.getService())
                        .setTarget(move.getTarget())
                        .setStage(stage)
                        .setEndedAtMs(timeSource.millis())
                        .build();
        proposals.propose(
                GroupDefinition.TRAFFIC,
                TrafficCommand.newBuilder().setEndMove(order).build().toByteArray(),
                PROPOSAL_TIMEOUT);
    }

    private static VersionCounts subtract(VersionCounts whole, VersionCounts part) {
        return whole.toBuilder()
                .setAnswers(whole.getAnswers() - part.getAnswers())
                .setFailures(Math.max(0, whole.getFailures() - part.getFailures()))
                .setTotalMs(Math.max(0, whole.getTotalMs() - part.getTotalMs()))
                .build();
    }
}
