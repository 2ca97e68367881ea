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
public final class MoveDuty {

    /** Part of a move's time that the trial takes; the rest is for requests on the old version. */
    private static final double TRIAL_PART = 0.6;

    /** Part of a move's time after which it is reported as done, when old requests have ended. */
    private static final double REPORT_PART = 0.9;

    private static final Duration INTERVAL = Duration.ofMillis(250);
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofSeconds(2);

    private final DutyLease lease;
    private final ViewServer views;
    private final GatewayReports reports;
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
    public MoveDuty(
            DutyLease lease,
            ViewServer views,
            GatewayReports reports,
            TrafficReplica replica,
            ProposalClient proposals,
            TimeSource timeSource,
            DecisionLog log) {
        this.lease = lease;
        this.views = views;
        this.reports = reports;
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
        control.repeat(INTERVAL.toMillis(), this::perform);
    }

    /**
     * Tells whether a finished move may be reported as done: no request is left on the old version.
     *
     * @param move a move in the stage of having been done
     * @param nowMs the wall clock, in milliseconds since 1970
     * @return true once the old version may be stopped
     */
    public static boolean isReportable(VersionMoveState move, long nowMs) {
        long reportAtMs = move.getStartedAtMs() + (long) (REPORT_PART * move.getDurationMs());
        return nowMs >= reportAtMs;
    }

    private void perform() {
        List<VersionMoveState> moves = replica.getState().getMovesList();
        if (moves.isEmpty() || lease.current().isEmpty() || !views.isSettled()) {
            return;
        }
        for (VersionMoveState move : moves) {
            if (move.getStage() == MoveStage.RUNNING) {
                judge(move);
            }
        }
    }

    private void judge(VersionMoveState move) {
        VersionCounts trial = reports.sumVersion(move.getService(), move.getTarget());
        VersionCounts former = reports.sumOthers(move.getService(), move.getTarget());
        VersionCounts baseline =
                baselines.computeIfAbsent(
                        move.getService() + " " + move.getTarget() + " " + move.getStartedAtMs(),
                        key -> former);
        VersionCounts during =
                former.getAnswers() >= baseline.getAnswers() ? subtract(former, baseline) : former;
        if (MoveJudge.isBad(trial, during)) {
            end(move, MoveStage.TAKEN_BACK, trial, during);
            return;
        }
        long elapsedMs = timeSource.millis() - move.getStartedAtMs();
        if (elapsedMs >= TRIAL_PART * move.getDurationMs() && trial.getAnswers() > 0) {
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
