package org.cardamomthread.daemon.rollout;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.cardamomthread.configuration.declaration.Service;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.state.ConfigurationCommands;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.configuration.ConfigurationProposer;
import org.cardamomthread.daemon.generated.EvidenceAnswer;
import org.cardamomthread.daemon.generated.EvidenceReport;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeState;
import org.cardamomthread.policy.rollout.MoveState;
import org.cardamomthread.policy.rollout.RolloutVerdict;
import org.cardamomthread.policy.rollout.SequentialRolloutDecider;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the version moves of the configuration in force.
 *
 * <p>Every node counts its own calls. One node a move, chosen by rendezvous hashing over the live
 * nodes, gathers the counts, decides and proposes each step to the replicated log; two nodes that
 * both think so do no harm, since a step is named by its number and a stop is final. Every node may
 * stop a version by itself. Decisions run on the control thread.
 */
public final class RolloutService {

    /** Carries reports of counts. */
    public static final PeerTopic TOPIC = new PeerTopic(3, "rollout");

    private static final Logger LOGGER = LoggerFactory.getLogger(RolloutService.class);
    private static final long INTERVAL_MS = 1_000;
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(2);

    private final NodeDirectory directory;
    private final ConfigurationHolder configuration;
    private final ConfigurationProposer proposer;
    private final PeerTransport transport;
    private final ControlThread control;
    private final TimeSource timeSource;
    private final Map<ServiceId, VersionMoveTracker> trackers = new ConcurrentHashMap<>();

    /**
     * Creates a service that does not run yet.
     *
     * @param directory the nodes
     * @param configuration the configuration in force
     * @param proposer proposes the steps of moves
     * @param transport the links to other nodes
     * @param control runs the decisions
     * @param timeSource the node's clock
     */
    public RolloutService(
            NodeDirectory directory,
            ConfigurationHolder configuration,
            ConfigurationProposer proposer,
            PeerTransport transport,
            ControlThread control,
            TimeSource timeSource) {
        this.directory = directory;
        this.configuration = configuration;
        this.proposer = proposer;
        this.transport = transport;
        this.control = control;
        this.timeSource = timeSource;
    }

    /** Begins to follow the moves of the configuration in force. */
    public void start() {
        transport.register(TOPIC, this::handleReport);
        configuration.addListener(this::trackMoves);
        control.repeat(INTERVAL_MS, this::processMoves);
    }

    /**
     * Finds the move that runs for a service.
     *
     * @param service the service
     * @return what this node knows of the move, or empty
     */
    Optional<VersionMoveTracker> findTracker(ServiceId service) {
        return Optional.ofNullable(trackers.get(service));
    }

    private void trackMoves(ConfigurationView view) {
        for (VersionMove move : view.versionMoves()) {
            if (move.isRunning()) {
                view.declarations()
                        .findService(move.service())
                        .ifPresent(service -> trackMoves(move, service));
            }
        }
        trackers.values()
                .removeIf(
                        watch ->
                                view.findMove(watch.getMove().id())
                                        .filter(VersionMove::isRunning)
                                        .isEmpty());
    }

    private void trackMoves(VersionMove move, Service service) {
        VersionMoveTracker watch = trackers.get(move.service());
        if (watch != null && watch.getMove().id().equals(move.id())) {
            watch.update(move);
            return;
        }
        trackers.put(
                move.service(),
                new VersionMoveTracker(
                        directory.self().id(),
                        move,
                        RolloutPlans.create(move, service.rollout()),
                        new SequentialRolloutDecider()));
    }

    private void processMoves() {
        List<NodeId> nodes = listLiveNodes();
        for (VersionMoveTracker watch : trackers.values()) {
            watch.decideLocally(timeSource.millis(), nodes.size());
            NodeId gatherer =
                    RendezvousHash.choose(watch.getMove().id().value(), nodes, NodeId::value)
                            .orElseThrow();
            if (gatherer.equals(directory.self().id())) {
                decide(watch);
            } else {
                sendReport(watch, gatherer);
            }
        }
    }

    private List<NodeId> listLiveNodes() {
        List<NodeId> nodes = new ArrayList<>();
        nodes.add(directory.self().id());
        directory.others().stream()
                .filter(node -> node.state() == NodeState.ALIVE && !node.entry().leaving())
                .forEach(node -> nodes.add(node.entry().id()));
        return nodes;
    }

    private void sendReport(VersionMoveTracker watch, NodeId gatherer) {
        byte[] report =
                EvidenceCodec.toMessage(watch.getMove().id(), watch.getLocalEvidence())
                        .toByteArray();
        transport
                .request(gatherer, TOPIC, report, REPORT_TIMEOUT)
                .whenComplete((answer, failure) -> handleResponse(watch, answer, failure));
    }

    private static void handleResponse(VersionMoveTracker watch, byte[] answer, Throwable failure) {
        if (failure != null || answer.length == 0) {
            return;
        }
        try {
            watch.applyResponse(EvidenceAnswer.parseFrom(answer));
        } catch (InvalidProtocolBufferException broken) {
            LOGGER.warn("dropped a malformed answer about a version move", broken);
        }
    }

    private CompletionStage<byte[]> handleReport(NodeId from, byte[] payload) {
        EvidenceReport report;
        try {
            report = EvidenceReport.parseFrom(payload);
        } catch (InvalidProtocolBufferException broken) {
            return CompletableFuture.failedFuture(broken);
        }
        byte[] answer =
                trackers.values().stream()
                        .filter(watch -> watch.getMove().id().value().equals(report.getMoveId()))
                        .findFirst()
                        .map(watch -> mergeReport(watch, from, report))
                        .orElse(new byte[0]);
        return CompletableFuture.completedFuture(answer);
    }

    private static byte[] mergeReport(
            VersionMoveTracker watch, NodeId from, EvidenceReport report) {
        watch.merge(EvidenceCodec.toEvidence(from, report));
        return watch.createResponse().toByteArray();
    }

    private void decide(VersionMoveTracker watch) {
        VersionMove move = watch.getMove();
        RolloutVerdict verdict = watch.decideGlobally(timeSource.millis());
        MoveState state = verdict.state();
        if (state.phase() == MoveState.Phase.DONE) {
            propose(createFinishCommand(move, true, verdict));
        } else if (state.phase() == MoveState.Phase.TAKEN_BACK) {
            propose(createFinishCommand(move, false, verdict));
        } else if (state.step() > move.step()) {
            OperationId operation = createOperationId(move, "step-" + state.step());
            propose(
                    ConfigurationCommands.advanceVersionMove(
                            operation, move.id(), state.step(), timeSource.instant()));
        }
    }

    private ConfigurationCommand createFinishCommand(
            VersionMove move, boolean done, RolloutVerdict verdict) {
        return ConfigurationCommands.finishVersionMove(
                createOperationId(move, "end"),
                move.id(),
                done,
                verdict.reason() + ": " + verdict.detail(),
                timeSource.instant());
    }

    private static OperationId createOperationId(VersionMove move, String step) {
        return new OperationId(move.id() + ":" + step);
    }

    private void propose(ConfigurationCommand command) {
        proposer.propose(command)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                LOGGER.info(
                                        "a step of a version move was not confirmed and will be"
                                                + " proposed again: {}",
                                        failure.getMessage());
                            }
                        });
    }
}
