package org.cardamomthread.daemon.operator;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.state.ConfigurationResult;
import org.cardamomthread.configuration.state.ConfigurationStateMachine;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.DataCentreState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RequestId;

/**
 * Applies commands to one state machine, and can lose results or leave proposals rejected or
 * unanswered.
 */
final class FakeControlPlane implements ControlPlane {

    private final ConfigurationStateMachine stateMachine = new ConfigurationStateMachine();
    private final Map<DataCentreId, DataCentreState> gossipedStates = new HashMap<>();
    private boolean responsesLost;
    private boolean groupUnreachable;
    private boolean groupUnresponsive;
    private ConfigurationView frozenView;

    void setResponsesLost(boolean responsesLost) {
        this.responsesLost = responsesLost;
    }

    void setGroupUnreachable(boolean groupUnreachable) {
        this.groupUnreachable = groupUnreachable;
    }

    void setGroupUnresponsive(boolean groupUnresponsive) {
        this.groupUnresponsive = groupUnresponsive;
    }

    /** Returns the current view from now on, while further commands are still applied. */
    void freezeView() {
        frozenView = stateMachine.view();
    }

    ConfigurationView committedView() {
        return stateMachine.view();
    }

    @Override
    public ConfigurationView configuration() {
        return frozenView == null ? stateMachine.view() : frozenView;
    }

    @Override
    public CompletableFuture<ConfigurationResult> propose(ConfigurationCommand command) {
        if (groupUnreachable) {
            return CompletableFuture.failedFuture(
                    new ProposalFailedException("no majority is reachable", true));
        }
        if (groupUnresponsive) {
            return new CompletableFuture<>();
        }
        ConfigurationResult result = stateMachine.apply(command);
        if (responsesLost) {
            return CompletableFuture.failedFuture(
                    new ProposalFailedException("the result was lost", false));
        }
        return CompletableFuture.completedFuture(result);
    }

    @Override
    public DataCentreState dataCentreState(DataCentreId id) {
        DataCentreState gossipedState = gossipedStates.getOrDefault(id, DataCentreState.INITIAL);
        return configuration().dataCentreState(id).merge(gossipedState);
    }

    @Override
    public void gossipDataCentreState(DataCentreId id, DataCentreState state) {
        gossipedStates.merge(id, state, DataCentreState::merge);
    }

    @Override
    public SystemStatus status() {
        NodeId node = new NodeId("node-a");
        DataCentreId dataCentre = new DataCentreId("perth-a");
        return new SystemStatus(
                node,
                List.of(
                        new NodeStatus(
                                node, dataCentre, true, stateMachine.view().revision(), true),
                        new NodeStatus(new NodeId("node-b"), dataCentre, false, 0, false)),
                List.of(),
                List.of(new VoterStatus("configuration", node, "leader", true, 7)));
    }

    @Override
    public Optional<RequestExplanation> explain(RequestId id) {
        if (!id.value().equals("request-1")) {
            return Optional.empty();
        }
        return Optional.of(
                new RequestExplanation(
                        id,
                        "chat",
                        "completed",
                        List.of(
                                new RequestExplanation.Decision(
                                        Instant.EPOCH, "sent", "runner-1", "lowest score"))));
    }
}
