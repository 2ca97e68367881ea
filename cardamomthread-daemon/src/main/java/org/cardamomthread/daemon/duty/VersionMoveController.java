package org.cardamomthread.daemon.duty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.cardamomthread.configuration.traffic.generated.EndMove;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
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
 * Ends version moves: rolls a target version back as soon as it shows a regression, moves all
 * traffic to one that showed none during its canary phase, and then reports it as done.
 *
 * <p>A target version on which too little is known by then is rolled back, since the other versions
 * cannot be returned to once the move is reported as done. Runs on the control thread of the
 * leader.
 */
public final class VersionMoveController {

    /** Fraction of a move's duration after which a target version may be promoted. */
    private static final double CANARY_FRACTION = 0.6;

    /**
     * Fraction of a move's duration after which a target version is no longer promoted, as requests
     * on the other versions could not finish in time.
     */
    private static final double LATEST_PROMOTION_FRACTION = 0.8;

    /** Fraction of a move's duration after which a promoted version is reported as done. */
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
    private final Map<MoveKey, CanaryEvidence> evidence = new HashMap<>();
    private final Map<MoveKey, String> undecidedReasons = new HashMap<>();

    /** Identifies a version move. */
    private record MoveKey(String service, String target, long startedAtMs) {
        static MoveKey of(VersionMoveState move) {
            return new MoveKey(move.getService(), move.getTarget(), move.getStartedAtMs());
        }
    }

    /**
     * Creates the controller; {@link #start} schedules it.
     *
     * @param lease determines whether this node may act
     * @param viewServer determines whether the gateways' reports are complete
     * @param gatewayReports supplies the results by version
     * @param replica supplies the version moves
     * @param proposals proposes commands to the replicated log
     * @param timeSource supplies the wall clock time
     * @param log receives an entry for each decision on a move
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

    private void run() {
        TrafficState state = replica.getState();
        List<VersionMoveState> moves =
                state.getMovesList().stream().filter(VersionMoveController::isInProgress).toList();
        Set<MoveKey> keys = moves.stream().map(MoveKey::of).collect(Collectors.toSet());
        evidence.keySet().retainAll(keys);
        undecidedReasons.keySet().retainAll(keys);
        if (lease.currentHolder().isEmpty() || !viewServer.isSettled()) {
            evidence.clear();
            return;
        }
        moves.forEach(move -> evaluate(state, move));
    }

    private static boolean isInProgress(VersionMoveState move) {
        return move.getStage() == MoveStage.RUNNING || move.getStage() == MoveStage.PROMOTED;
    }

    private void evaluate(TrafficState state, VersionMoveState move) {
        CanaryEvidence collected =
                evidence.computeIfAbsent(MoveKey.of(move), key -> new CanaryEvidence());
        collected.update(
                gatewayReports.sumVersionResults(move.getService(), move.getTarget()),
                gatewayReports.sumOtherVersionResults(move.getService(), move.getTarget()));
        decide(move, collected, timeSource.millis())
                .ifPresentOrElse(
                        decision -> endStage(state, move, decision, collected),
                        () -> logUndecided(move, collected));
    }

    /** Holds the next stage of a move and the reason for it. */
    record Decision(MoveStage stage, String reason) {}

    /** Returns the next stage of a move, or empty if it remains in its stage. */
    static Optional<Decision> decide(
            VersionMoveState move, CanaryEvidence collected, long wallClockMs) {
        Optional<CanaryEvaluator.Regression> regression = collected.findRegression();
        if (regression.isPresent()) {
            return Optional.of(new Decision(MoveStage.TAKEN_BACK, regression.get().name()));
        }
        double elapsedFraction =
                (double) (wallClockMs - move.getStartedAtMs()) / move.getDurationMs();
        if (move.getStage() == MoveStage.PROMOTED) {
            return elapsedFraction >= COMPLETION_FRACTION
                    ? Optional.of(new Decision(MoveStage.DONE, "no regression was found"))
                    : Optional.empty();
        }
        if (elapsedFraction >= LATEST_PROMOTION_FRACTION) {
            return Optional.of(
                    new Decision(MoveStage.TAKEN_BACK, "not promoted in time for the deadline"));
        }
        boolean mayBePromoted = collected.isSufficient() && !collected.isSuspected();
        return elapsedFraction >= CANARY_FRACTION && mayBePromoted
                ? Optional.of(new Decision(MoveStage.PROMOTED, "no regression was found"))
                : Optional.empty();
    }

    private void logUndecided(VersionMoveState move, CanaryEvidence collected) {
        String reason = "the stage is not over";
        if (!collected.isSufficient()) {
            reason = "fewer than " + CanaryEvidence.MIN_RESULTS + " results";
        } else if (collected.isSuspected()) {
            reason = "a regression is suspected";
        }
        String previous = undecidedReasons.put(MoveKey.of(move), move.getStage() + reason);
        if (!(move.getStage() + reason).equals(previous)) {
            logMove("move-undecided", move, move.getStage(), reason, collected);
        }
    }

    private void endStage(
            TrafficState state,
            VersionMoveState move,
            Decision decision,
            CanaryEvidence collected) {
        logMove(
                decision.stage() == MoveStage.PROMOTED ? "move-promoted" : "move-ended",
                move,
                decision.stage(),
                decision.reason(),
                collected);
        EndMove command =
                EndMove.newBuilder()
                        .setService(move.getService())
                        .setTarget(move.getTarget())
                        .setStage(decision.stage())
                        .setEndedAtMs(timeSource.millis())
                        .setExpectedOrderIndex(
                                state.getMoveOrderIndexesOrDefault(move.getService(), 0))
                        .build();
        proposals
                .propose(
                        GroupDefinition.TRAFFIC,
                        TrafficCommand.newBuilder().setEndMove(command).build().toByteArray(),
                        PROPOSAL_TIMEOUT)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                log.log(
                                        "move-not-committed",
                                        "service",
                                        move.getService(),
                                        "stage",
                                        decision.stage(),
                                        "reason",
                                        failure.getMessage());
                            }
                        });
    }

    private void logMove(
            String event,
            VersionMoveState move,
            MoveStage stage,
            String reason,
            CanaryEvidence collected) {
        VersionCounts canary = collected.canary();
        VersionCounts former = collected.former();
        log.log(
                event,
                "service",
                move.getService(),
                "target",
                move.getTarget(),
                "stage",
                stage,
                "reason",
                reason,
                "elapsedMs",
                timeSource.millis() - move.getStartedAtMs(),
                "durationMs",
                move.getDurationMs(),
                "canaryAnswers",
                canary.getAnswers(),
                "canaryFailures",
                canary.getFailures(),
                "canaryTimed",
                canary.getTimed(),
                "canarySlow",
                canary.getSlow(),
                "formerAnswers",
                former.getAnswers(),
                "formerFailures",
                former.getFailures(),
                "formerTimed",
                former.getTimed(),
                "formerSlow",
                former.getSlow());
    }
}
