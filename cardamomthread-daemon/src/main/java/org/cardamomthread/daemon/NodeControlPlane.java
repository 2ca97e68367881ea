package org.cardamomthread.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.state.ConfigurationResult;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.DataCentreState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.gateway.PlacementHistory;
import org.cardamomthread.daemon.operator.ControlPlane;
import org.cardamomthread.daemon.operator.EndpointStatus;
import org.cardamomthread.daemon.operator.NodeStatus;
import org.cardamomthread.daemon.operator.RequestExplanation;
import org.cardamomthread.daemon.operator.SystemStatus;
import org.cardamomthread.daemon.operator.VoterStatus;
import org.cardamomthread.membership.gateway.EndpointSnapshot;
import org.cardamomthread.membership.node.DrainRecord;
import org.cardamomthread.membership.node.NodeDirectory;
import org.cardamomthread.membership.node.NodeEntry;
import org.cardamomthread.membership.node.NodeState;
import org.cardamomthread.membership.node.NodeView;

/** Gives operators the state that this node knows and accepts their changes. Thread-safe. */
final class NodeControlPlane implements ControlPlane {

    private final ConfigurationHolder configuration;
    private final MembershipComponents membership;
    private final ControlComponents control;
    private final PlacementHistory placementHistory;

    NodeControlPlane(
            ConfigurationHolder configuration,
            MembershipComponents membership,
            ControlComponents control,
            PlacementHistory placementHistory) {
        this.configuration = configuration;
        this.membership = membership;
        this.control = control;
        this.placementHistory = placementHistory;
    }

    @Override
    public ConfigurationView configuration() {
        return configuration.getView();
    }

    @Override
    public CompletableFuture<ConfigurationResult> propose(ConfigurationCommand command) {
        return control.propose(command).thenCompose(this::awaitActivation);
    }

    @Override
    public DataCentreState dataCentreState(DataCentreId id) {
        DataCentreState state = configuration.getView().dataCentreState(id);
        for (DrainRecord record : membership.getDirectory().drainRecords()) {
            if (record.dataCentre().equals(id)) {
                state = state.merge(new DataCentreState(record.drained(), record.epoch()));
            }
        }
        return state;
    }

    @Override
    public void gossipDataCentreState(DataCentreId id, DataCentreState state) {
        membership
                .getDirectory()
                .mergeDrainRecord(new DrainRecord(id, state.epoch(), state.drained()));
    }

    @Override
    public SystemStatus status() {
        NodeDirectory directory = membership.getDirectory();
        List<NodeStatus> nodes = new ArrayList<>();
        NodeEntry self = directory.self();
        long revision = configuration.getView().revision();
        nodes.add(new NodeStatus(self.id(), self.dataCentre(), true, revision, true));
        directory.otherNodes().forEach(node -> nodes.add(describe(node, revision)));
        return new SystemStatus(self.id(), nodes, describeEndpoints(), describeVoters());
    }

    @Override
    public Optional<RequestExplanation> explain(RequestId id) {
        List<RequestExplanation.Decision> decisions = placementHistory.getDecisions(id);
        if (decisions.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new RequestExplanation(
                        id,
                        placementHistory.getService(id),
                        placementHistory.getOutcome(id),
                        decisions));
    }

    private CompletableFuture<ConfigurationResult> awaitActivation(ConfigurationResult result) {
        return configuration.awaitRevision(result.revision()).thenApply(view -> result);
    }

    private static NodeStatus describe(NodeView node, long revision) {
        boolean isReachable = node.state() == NodeState.ALIVE;
        return new NodeStatus(
                node.entry().id(),
                node.entry().dataCentre(),
                isReachable,
                node.activeRevision(),
                isReachable && node.activeRevision() >= revision);
    }

    private List<EndpointStatus> describeEndpoints() {
        List<EndpointStatus> statuses = new ArrayList<>();
        for (EndpointSnapshot endpoint : membership.getCreditPool().endpoints()) {
            statuses.add(describe(endpoint));
        }
        return statuses;
    }

    private static EndpointStatus describe(EndpointSnapshot endpoint) {
        EndpointId id = endpoint.endpoint();
        List<String> versions =
                endpoint.description().services().stream()
                        .map(served -> served.service() + ":" + served.version())
                        .toList();
        return new EndpointStatus(
                id,
                endpoint.dataCentre(),
                endpoint.home(),
                endpoint.description().state().wireName(),
                endpoint.description().priceClass().wireName(),
                versions,
                endpoint.load().inFlight(),
                endpoint.load().concurrencyLimit());
    }

    private List<VoterStatus> describeVoters() {
        return control.describeVoters(membership.getDirectory());
    }
}
