package org.cardamomthread.daemon.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cardamomthread.configuration.traffic.InvalidTrafficDocumentException;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficDocumentValidator;
import org.cardamomthread.configuration.traffic.generated.ReplaceDocument;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.dialect.ControlRequest;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dialect.VersionMoveStatus;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.ServerResponse;
import org.cardamomthread.daemon.registry.EndpointUpdateReplicator;
import org.cardamomthread.daemon.telemetry.DecisionLog;

/**
 * Handles HTTP requests of operators and endpoints on a control node.
 *
 * <p>Invariants: a change is acknowledged only after it has been committed to the replicated log. A
 * read that cannot be confirmed as current is answered with 503. Documents are ordered by their
 * version, reports by their sequence; all other orders pass the {@link OrderProposer}. Thread-safe.
 */
final class ControlHandler implements HttpHandler {

    /**
     * Timeout of proposals and queries; operators try another node after one second without a
     * response.
     */
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofMillis(900);

    private static final String JSON = "application/json";

    private final PlatformDialect dialect;
    private final Supplier<Optional<ProposalClient>> proposals;
    private final OrderProposer orderProposer;
    private final EndpointUpdateReplicator endpointUpdates;
    private final TimeSource timeSource;
    private final DecisionLog log;

    ControlHandler(
            PlatformDialect dialect,
            Supplier<Optional<ProposalClient>> proposals,
            OrderProposer orderProposer,
            EndpointUpdateReplicator endpointUpdates,
            TimeSource timeSource,
            DecisionLog log) {
        this.dialect = dialect;
        this.proposals = proposals;
        this.orderProposer = orderProposer;
        this.endpointUpdates = endpointUpdates;
        this.timeSource = timeSource;
        this.log = log;
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            Optional<ControlRequest> controlRequest =
                    dialect.decodeControlRequest(exchange.getRequest());
            if (controlRequest.isEmpty()) {
                exchange.respond(ServerResponse.createText(404, "no such call\n"));
                return;
            }
            dispatch(exchange, controlRequest.get());
        } catch (MalformedMessageException | InvalidTrafficDocumentException e) {
            log.log(
                    "order-refused",
                    "call",
                    exchange.getRequest().path(),
                    "reason",
                    e.getMessage());
            exchange.respond(ServerResponse.createText(400, e.getMessage() + "\n"));
        }
    }

    private void dispatch(HttpExchange exchange, ControlRequest controlRequest)
            throws MalformedMessageException, InvalidTrafficDocumentException {
        if (controlRequest instanceof ControlRequest.ReportEndpoint report) {
            respondWhenConfirmed(exchange, endpointUpdates.accept(report.report()));
        } else if (controlRequest instanceof ControlRequest.RemoveEndpoint removal) {
            orderProposer.runWhileCallerWaits(
                    exchange,
                    () ->
                            respondWhenConfirmed(
                                    exchange,
                                    endpointUpdates.remove(
                                            removal.endpoint(), removal.startTimeMs())));
        } else if (controlRequest instanceof ControlRequest.ReplaceDocument replacement) {
            replaceDocument(exchange, replacement.body());
        } else if (controlRequest instanceof ControlRequest.ReadDocument) {
            read(exchange, ControlHandler::renderDocument);
        } else if (controlRequest instanceof ControlRequest.BeginVersionMove begin) {
            orderProposer.propose(
                    exchange,
                    new VersionMoveOrder(
                            begin.service(),
                            begin.target(),
                            timeSource.millis(),
                            begin.durationMs()));
        } else if (controlRequest instanceof ControlRequest.ReadVersionMove move) {
            read(exchange, state -> renderVersionMove(state, move.service()));
        } else if (controlRequest instanceof ControlRequest.SetDrained change) {
            orderProposer.propose(
                    exchange, new DrainOrder(change.dataCentre(), change.isDrained()));
        }
    }

    private void replaceDocument(HttpExchange exchange, byte[] body)
            throws MalformedMessageException, InvalidTrafficDocumentException {
        TrafficDocument document = dialect.decodeTrafficDocument(body);
        TrafficDocumentValidator.validate(document);
        ReplaceDocument command =
                ReplaceDocument.newBuilder()
                        .setVersion(document.version())
                        .setDocument(ByteString.copyFrom(body))
                        .build();
        propose(exchange, TrafficCommand.newBuilder().setReplaceDocument(command).build());
    }

    private void respondWhenConfirmed(
            HttpExchange exchange, CompletableFuture<Boolean> confirmation) {
        confirmation.whenComplete(
                (isAcknowledged, failure) -> {
                    boolean isConfirmed = failure == null && isAcknowledged;
                    exchange.respond(
                            isConfirmed
                                    ? ServerResponse.create(200, JSON, "{}".getBytes())
                                    : ServerResponse.createText(503, "not confirmed, ask again\n"));
                });
    }

    private void propose(HttpExchange exchange, TrafficCommand command) {
        Optional<ProposalClient> proposalClient = proposals.get();
        if (proposalClient.isEmpty()) {
            respondUnavailable(
                    exchange,
                    command.getActionCase().name(),
                    "the voters of the replication group are not known yet");
            return;
        }
        proposalClient
                .get()
                .propose(GroupDefinition.TRAFFIC, command.toByteArray(), PROPOSAL_TIMEOUT)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                respondUnavailable(
                                        exchange,
                                        command.getActionCase().name(),
                                        failure.getMessage());
                                return;
                            }
                            log.log(
                                    "order-acknowledged",
                                    "order",
                                    command.getActionCase(),
                                    "documentVersion",
                                    command.getReplaceDocument().getVersion(),
                                    "call",
                                    exchange.getRequest().path());
                            exchange.respond(ServerResponse.create(200, JSON, "{}".getBytes()));
                        });
    }

    /** Renders a response from the current traffic state. */
    private interface StateRenderer {
        ServerResponse render(TrafficState state);
    }

    private void read(HttpExchange exchange, StateRenderer renderer) {
        Optional<ProposalClient> proposalClient = proposals.get();
        if (proposalClient.isEmpty()) {
            respondUnavailable(
                    exchange, "read", "the voters of the replication group are not known yet");
            return;
        }
        proposalClient
                .get()
                .query(GroupDefinition.TRAFFIC, new byte[0], PROPOSAL_TIMEOUT)
                .whenComplete(
                        (result, failure) -> {
                            if (failure != null) {
                                respondUnavailable(exchange, "read", failure.getMessage());
                                return;
                            }
                            exchange.respond(renderer.render(decodeState(result)));
                        });
    }

    private static TrafficState decodeState(byte[] result) {
        try {
            return TrafficState.parseFrom(result);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(
                    "the replicated log returned an unreadable traffic state", e);
        }
    }

    private static ServerResponse renderDocument(TrafficState state) {
        return state.getDocumentVersion() == 0
                ? ServerResponse.createText(503, "no document has arrived yet\n")
                : ServerResponse.create(200, JSON, state.getDocument().toByteArray());
    }

    private ServerResponse renderVersionMove(TrafficState state, ServiceId service) {
        for (VersionMoveState move : state.getMovesList()) {
            if (move.getService().equals(service.value())) {
                return dialect.encodeVersionMoveStatus(
                        new VersionMoveStatus(new VersionId(move.getTarget()), stateOf(move)));
            }
        }
        return ServerResponse.createText(404, "no version move of this service was ordered\n");
    }

    private static VersionMoveStatus.State stateOf(VersionMoveState move) {
        return switch (move.getStage()) {
            case TAKEN_BACK -> VersionMoveStatus.State.ROLLED_BACK;
            case DONE -> VersionMoveStatus.State.DONE;
            default -> VersionMoveStatus.State.RUNNING;
        };
    }

    private void respondUnavailable(HttpExchange exchange, String operation, String reason) {
        log.log("order-not-confirmed", "order", operation, "reason", reason);
        exchange.respond(ServerResponse.createText(503, "not confirmed, ask again\n"));
    }
}
