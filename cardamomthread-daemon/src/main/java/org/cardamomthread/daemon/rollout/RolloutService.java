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
import org.cardamomthread.policy.rollout.RolloutDecision;
import org.cardamomthread.policy.rollout.RolloutState;
import org.cardamomthread.policy.rollout.SequentialRolloutDecider;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the version moves of the active configuration: collects counts of calls, decides on steps
 * and proposes them.
 *
 * <p>Every node counts its own calls. For each move, one node chosen by rendezvous hashing over the
 * live nodes collects the counts, decides and proposes each step to the replicated log. Two nodes
 * that both consider themselves the collector are harmless, since a step is identified by its
 * number and a stop is final. Any node can stop a version on its own. Decisions run on the control
 * thread.
 */
public final class RolloutService {

    /** The topic of reports of counts. */
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
     * @param configuration the active configuration
     * @param proposer proposes the steps of version moves
     * @param transport the transport to other nodes
     * @param control runs the decisions periodically
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

    /** Starts to track the version moves of the active configuration. */
    public void start() {
        transport.register(TOPIC, this::handleReport);
        configuration.addListener(this::trackMoves);
        control.scheduleWithFixedDelay(INTERVAL_MS, this::processMoves);
    }

    /**
     * Finds the running version move of a service.
     *
     * @param service the service
     * @return the tracker of the move, or empty if none is running
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
                        tracker ->
                                view.findVersionMove(tracker.getMove().id())
                                        .filter(VersionMove::isRunning)
                                        .isEmpty());
    }

    private void trackMoves(VersionMove move, Service service) {
        VersionMoveTracker tracker = trackers.get(move.service());
        if (tracker != null && tracker.getMove().id().equals(move.id())) {
            tracker.update(move);
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
        for (VersionMoveTracker tracker : trackers.values()) {
            tracker.decideLocally(timeSource.millis(), nodes.size());
            NodeId collector =
                    RendezvousHash.choose(tracker.getMove().id().value(), nodes, NodeId::value)
                            .orElseThrow();
            if (collector.equals(directory.self().id())) {
                decide(tracker);
            } else {
                sendReport(tracker, collector);
            }
        }
    }

    private List<NodeId> listLiveNodes() {
        List<NodeId> nodes = new ArrayList<>();
        nodes.add(directory.self().id());
        directory.otherNodes().stream()
                .filter(node -> node.state() == NodeState.ALIVE && !node.entry().leaving())
                .forEach(node -> nodes.add(node.entry().id()));
        return nodes;
    }

    private void sendReport(VersionMoveTracker tracker, NodeId collector) {
        byte[] report =
                EvidenceCodec.toMessage(tracker.getMove().id(), tracker.getLocalEvidence())
                        .toByteArray();
        transport
                .request(collector, TOPIC, report, REPORT_TIMEOUT)
                .whenComplete((response, failure) -> handleResponse(tracker, response, failure));
    }

    private static void handleResponse(
            VersionMoveTracker tracker, byte[] response, Throwable failure) {
        if (failure != null || response.length == 0) {
            return;
        }
        try {
            tracker.applyResponse(EvidenceAnswer.parseFrom(response));
        } catch (InvalidProtocolBufferException malformed) {
            LOGGER.warn("dropped a malformed response to a report on a version move", malformed);
        }
    }

    private CompletionStage<byte[]> handleReport(NodeId from, byte[] payload) {
        EvidenceReport report;
        try {
            report = EvidenceReport.parseFrom(payload);
        } catch (InvalidProtocolBufferException malformed) {
            return CompletableFuture.failedFuture(malformed);
        }
        byte[] response =
                trackers.values().stream()
                        .filter(
                                tracker ->
                                        tracker.getMove().id().value().equals(report.getMoveId()))
                        .findFirst()
                        .map(tracker -> mergeReport(tracker, from, report))
                        .orElse(new byte[0]);
        return CompletableFuture.completedFuture(response);
    }

    private static byte[] mergeReport(
            VersionMoveTracker tracker, NodeId from, EvidenceReport report) {
        tracker.merge(EvidenceCodec.toEvidence(from, report));
        return tracker.createResponse().toByteArray();
    }

    private void decide(VersionMoveTracker tracker) {
        VersionMove move = tracker.getMove();
        RolloutDecision decision = tracker.decideGlobally(timeSource.millis());
        RolloutState state = decision.state();
        if (state.phase() == RolloutState.Phase.COMPLETED) {
            propose(createFinishCommand(move, true, decision));
        } else if (state.phase() == RolloutState.Phase.ROLLED_BACK) {
            propose(createFinishCommand(move, false, decision));
        } else if (state.step() > move.step()) {
            OperationId operation = createOperationId(move, "step-" + state.step());
            propose(
                    ConfigurationCommands.advanceVersionMove(
                            operation, move.id(), state.step(), timeSource.instant()));
        }
    }

    private ConfigurationCommand createFinishCommand(
            VersionMove move, boolean isCompleted, RolloutDecision decision) {
        return ConfigurationCommands.finishVersionMove(
                createOperationId(move, "end"),
                move.id(),
                isCompleted,
                decision.reason() + ": " + decision.detail(),
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
