package org.cardamomthread.daemon.view;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.registry.RegisteredEndpoint;
import org.cardamomthread.daemon.view.generated.EndpointEntry;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.cardamomthread.replication.NotLeaderException;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.transport.PeerTopic;

/**
 * Serves the view to the gateways, on the control node that is the leader. Other control nodes
 * refuse the request and name whom to ask instead: the leader, and the control nodes they know, as
 * a node that does not vote is told nothing of the leader.
 *
 * <p>Invariant: a response is created only after the leader's lease has been confirmed following
 * the arrival of the request, so it includes every change acknowledged before the request was sent.
 * The traffic state in it names the version of the document, which gateways fetch from {@link
 * DocumentServer}. Responses are created on the control thread.
 */
public final class ViewServer {

    /** The topic of the gateways' view requests. */
    public static final PeerTopic TOPIC = new PeerTopic(20, "view");

    /** Time that a new leader gives the gateways to report before it computes quota shares. */
    static final Duration SETTLING_PERIOD = Duration.ofMillis(1_500);

    private final TrafficReplica replica;
    private final Supplier<Optional<ReplicationGroup>> group;
    private final EndpointRegistry registry;
    private final GatewayReports reports;
    private final LeavingEndpointReports leavingEndpoints;
    private final QuarantineServer quarantine;
    private final Supplier<List<NodeId>> controlNodes;
    private final ControlThread controlThread;
    private final TimeSource timeSource;
    private final String registryId;
    private long leaderTerm = -1;
    private long leaderSinceMs;

    /**
     * Creates a server that does not know any gateway yet.
     *
     * @param replica the local replica of the traffic state
     * @param group this node's member of the replication group, empty if it has none
     * @param registry the registered endpoints, accessed on the control thread only
     * @param reports the gateways' reports, accessed on the control thread only
     * @param leavingEndpoints applies what gateways report on endpoints that leave
     * @param quarantine the quarantined prompt parts, accessed on the control thread only
     * @param controlNodes supplies the known control nodes, the voters first
     * @param controlThread the thread on which responses are created
     * @param timeSource supplies monotonic time
     * @param registryId identifies this incarnation of this node, and thereby its registry
     */
    public ViewServer(
            TrafficReplica replica,
            Supplier<Optional<ReplicationGroup>> group,
            EndpointRegistry registry,
            GatewayReports reports,
            LeavingEndpointReports leavingEndpoints,
            QuarantineServer quarantine,
            Supplier<List<NodeId>> controlNodes,
            ControlThread controlThread,
            TimeSource timeSource,
            String registryId) {
        this.replica = replica;
        this.group = group;
        this.registry = registry;
        this.reports = reports;
        this.leavingEndpoints = leavingEndpoints;
        this.quarantine = quarantine;
        this.controlNodes = controlNodes;
        this.controlThread = controlThread;
        this.timeSource = timeSource;
        this.registryId = registryId;
    }

    /**
     * Handles a view request of a gateway.
     *
     * @param from the gateway that sent it
     * @param payload the encoded {@link ViewRequest}
     * @return the encoded {@link ViewResponse}, which may be a refusal that names other nodes
     */
    public CompletionStage<byte[]> handle(NodeId from, byte[] payload) {
        ViewRequest request;
        try {
            request = ViewRequest.parseFrom(payload);
        } catch (InvalidProtocolBufferException e) {
            return CompletableFuture.completedFuture(
                    reject(
                            "unreadable request: run the same release on all nodes",
                            Optional.empty()));
        }
        Optional<ReplicationGroup> local = group.get();
        if (local.isEmpty()) {
            return CompletableFuture.completedFuture(
                    reject("this node is not a member of the replication group", Optional.empty()));
        }
        return local.get()
                .readBarrier()
                .thenCompose(
                        index -> controlThread.submit(() -> respond(from, request, local.get())))
                .exceptionally(this::reject);
    }

    /**
     * Returns whether this node has been the leader long enough to have received a report from
     * every gateway.
     *
     * @return true if quota shares and sums over the reports are meaningful
     */
    public boolean isSettled() {
        return leaderTerm >= 0
                && timeSource.monotonicMs() - leaderSinceMs >= SETTLING_PERIOD.toMillis();
    }

    /**
     * Returns whether gateways have reported to this node as the leader since a point in time.
     *
     * @param sinceMs monotonic time, in milliseconds
     * @return false if another node may have received their reports at that time
     */
    public boolean hasLedSince(long sinceMs) {
        return leaderTerm >= 0 && leaderSinceMs <= sinceMs;
    }

    private byte[] respond(NodeId from, ViewRequest request, ReplicationGroup local) {
        updateTerm(local.status().term());
        reports.accept(from, request);
        leavingEndpoints.accept(from, request);
        quarantine.accept(from, request);
        TrafficState state = replica.getState();
        ViewResponse.Builder response =
                ViewResponse.newBuilder()
                        .setStateRevision(state.getRevision())
                        .setRegisterSource(registryId)
                        .setRegisterRevision(registry.revision());
        if (request.getStateRevision() != state.getRevision()) {
            response.setState(withoutLargeParts(state));
        }
        addEndpoints(request, response);
        quarantine.addTo(response, request, request.getRegisterSource().equals(registryId));
        controlNodes.get().forEach(node -> response.addControlNodes(node.value()));
        if (isSettled()) {
            response.setGateways(reports.countPresent());
            response.putAllShares(reports.computeShares(from));
        }
        return response.build().toByteArray();
    }

    private void updateTerm(long term) {
        if (term != leaderTerm) {
            leaderTerm = term;
            leaderSinceMs = timeSource.monotonicMs();
            reports.clear();
        }
    }

    private void addEndpoints(ViewRequest request, ViewResponse.Builder response) {
        boolean isKnown = request.getRegisterSource().equals(registryId);
        response.setRegisterComplete(!isKnown);
        long sinceRevision = isKnown ? request.getRegisterRevision() : 0;
        for (RegisteredEndpoint entry : registry.listChangedSince(sinceRevision)) {
            if (entry.isPresent()) {
                response.addEndpoints(encode(entry));
            } else {
                response.addRemoved(entry.report().id().value());
            }
        }
    }

    private EndpointEntry encode(RegisteredEndpoint entry) {
        long coldMs = Math.max(0, entry.coldUntilMs() - timeSource.monotonicMs());
        return EndpointEntryCodec.encode(entry.report(), coldMs);
    }

    private byte[] reject(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        Optional<NodeId> leader =
                cause instanceof NotLeaderException notLeader
                        ? notLeader.leader()
                        : Optional.empty();
        return reject(String.valueOf(cause.getMessage()), leader);
    }

    private byte[] reject(String reason, Optional<NodeId> leader) {
        ViewResponse.Builder response =
                ViewResponse.newBuilder()
                        .setRefusal(reason)
                        .setLeader(leader.map(NodeId::value).orElse(""));
        controlNodes.get().forEach(node -> response.addControlNodes(node.value()));
        return response.build().toByteArray();
    }

    private static TrafficState withoutLargeParts(TrafficState state) {
        return state.toBuilder().clearDocument().clearWindows().build();
    }
}
