package org.cardamomthread.daemon.fleet;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.cardamomthread.configuration.traffic.InvalidTrafficException;
import org.cardamomthread.configuration.traffic.TrafficDocument;
import org.cardamomthread.configuration.traffic.TrafficDocumentCheck;
import org.cardamomthread.configuration.traffic.generated.BeginMove;
import org.cardamomthread.configuration.traffic.generated.MoveStage;
import org.cardamomthread.configuration.traffic.generated.ReplaceDocument;
import org.cardamomthread.configuration.traffic.generated.SetDrained;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.configuration.traffic.generated.VersionMoveState;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.control.GroupDefinition;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.dialect.ControlOrder;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.MoveReport;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.duty.VersionMoveController;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.HttpReply;
import org.cardamomthread.daemon.registry.EndpointUpdateReplicator;
import org.cardamomthread.daemon.telemetry.DecisionLog;

/**
 * Answers operators and endpoints on a control node.
 *
 * <p>Invariants: a change is acknowledged only once it is in the replicated log; a read that cannot
 * be confirmed as the newest is answered with 503. Safe for use by several threads.
 */
final class ControlHandler implements HttpHandler {

    /** Operators turn to another node after a second without an answer. */
    private static final Duration PROPOSAL_TIMEOUT = Duration.ofMillis(900);

    private static final String JSON = "application/json";

    private final PlatformDialect dialect;
    private final Supplier<Optional<ProposalClient>> proposals;
    private final EndpointUpdateReplicator endpointUpdates;
    private final TimeSource timeSource;
    private final DecisionLog log;

    ControlHandler(
            PlatformDialect dialect,
            Supplier<Optional<ProposalClient>> proposals,
            EndpointUpdateReplicator endpoints,
            TimeSource timeSource,
            DecisionLog log) {
        this.dialect = dialect;
        this.proposals = proposals;
        this.endpointUpdates = endpoints;
        this.timeSource = timeSource;
        this.log = log;
    }

    @Override
    public void handle(HttpExchange exchange) {
        try {
            Optional<ControlOrder> order = dialect.decodeOrder(exchange.getCall());
            if (order.isEmpty()) {
                exchange.respond(HttpReply.createText(404, "no such call\n"));
                return;
            }
            dispatch(exchange, order.get());
        } catch (MalformedMessageException | InvalidTrafficException e) {
            log.write("order-refused", "call", exchange.getCall().path(), "reason", e.getMessage());
            exchange.respond(HttpReply.createText(400, e.getMessage() + "\n"));
        }
    }

    private void dispatch(HttpExchange exchange, ControlOrder order)
            throws MalformedMessageException, InvalidTrafficException {
        if (order instanceof ControlOrder.ReportEndpoint report) {
            respondWhenConfirmed(exchange, endpointUpdates.accept(report.report()));
        } else if (order instanceof ControlOrder.RemoveEndpoint end) {
            respondWhenConfirmed(
                    exchange, endpointUpdates.remove(end.endpoint(), end.startTimeMs()));
        } else if (order instanceof ControlOrder.ReplaceDocument replacement) {
            replace(exchange, replacement.body());
        } else if (order instanceof ControlOrder.ReadDocument) {
            read(exchange, ControlHandler::renderDocument);
        } else if (order instanceof ControlOrder.BeginVersionMove begin) {
            beginMove(exchange, begin);
        } else if (order instanceof ControlOrder.ReadVersionMove move) {
            read(exchange, state -> renderMove(state, move.service()));
        } else if (order instanceof ControlOrder.SetDrained change) {
            SetDrained command =
                    SetDrained.newBuilder()
                            .setDataCentre(change.dataCentre().value())
                            .setDrained(change.isDrained())
                            .build();
            propose(exchange, TrafficCommand.newBuilder().setSetDrained(command).build());
        }
    }

    private void replace(HttpExchange exchange, byte[] body)
            throws MalformedMessageException, InvalidTrafficException {
        TrafficDocument document = dialect.decodeDocument(body);
        TrafficDocumentCheck.check(document);
        ReplaceDocument command =
                ReplaceDocument.newBuilder()
                        .setVersion(document.version())
                        .setDocument(ByteString.copyFrom(body))
                        .build();
        propose(exchange, TrafficCommand.newBuilder().setReplaceDocument(command).build());
    }

    private void beginMove(HttpExchange exchange, ControlOrder.BeginVersionMove order) {
        BeginMove command =
                BeginMove.newBuilder()
                        .setService(order.service().value())
                        .setTarget(order.target().value())
                        .setStartedAtMs(timeSource.millis())
                        .setDurationMs(order.durationMs())
                        .build();
        propose(exchange, TrafficCommand.newBuilder().setBeginMove(command).build());
    }

    private void respondWhenConfirmed(HttpExchange exchange, CompletableFuture<Boolean> accepted) {
        accepted.whenComplete(
                (isAccepted, failure) -> {
                    boolean isConfirmed = failure == null && isAccepted;
                    exchange.respond(
                            isConfirmed
                                    ? HttpReply.create(200, JSON, "{}".getBytes())
                                    : HttpReply.createText(503, "not confirmed, ask again\n"));
                });
    }

    private void propose(HttpExchange exchange, TrafficCommand command) {
        Optional<ProposalClient> client = proposals.get();
        if (client.isEmpty()) {
            respondUnavailable(exchange, command.getActionCase().name(), "no voters are known yet");
            return;
        }
        client.get()
                .propose(GroupDefinition.TRAFFIC, command.toByteArray(), PROPOSAL_TIMEOUT)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                respondUnavailable(
                                        exchange,
                                        command.getActionCase().name(),
                                        failure.getMessage());
                                return;
                            }
                            log.write(
                                    "order-acknowledged",
                                    "order",
                                    command.getActionCase(),
                                    "documentVersion",
                                    command.getReplaceDocument().getVersion(),
                                    "call",
                                    exchange.getCall().path());
                            exchange.respond(HttpReply.create(200, JSON, "{}".getBytes()));
                        });
    }

    /** Renders an answer from the newest state. */
    private interface StateRenderer {
        HttpReply render(TrafficState state);
    }

    private void read(HttpExchange exchange, StateRenderer rendering) {
        Optional<ProposalClient> client = proposals.get();
        if (client.isEmpty()) {
            respondUnavailable(exchange, "read", "no voters are known yet");
            return;
        }
        client.get()
                .query(GroupDefinition.TRAFFIC, new byte[0], PROPOSAL_TIMEOUT)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                respondUnavailable(exchange, "read", failure.getMessage());
                                return;
                            }
                            exchange.respond(rendering.render(decodeState(answer)));
                        });
    }

    private static TrafficState decodeState(byte[] answer) {
        try {
            return TrafficState.parseFrom(answer);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the log must answer with a state", e);
        }
    }

    private static HttpReply renderDocument(TrafficState state) {
        return state.getDocumentVersion() == 0
                ? HttpReply.createText(503, "no document has arrived yet\n")
                : HttpReply.create(200, JSON, state.getDocument().toByteArray());
    }

    private HttpReply renderMove(TrafficState state, ServiceId service) {
        for (VersionMoveState move : state.getMovesList()) {
            if (move.getService().equals(service.value())) {
                return dialect.encodeMove(
                        new MoveReport(new VersionId(move.getTarget()), stateOf(move)));
            }
        }
        return HttpReply.createText(404, "no version move of this service was ordered\n");
    }

    private MoveReport.State stateOf(VersionMoveState move) {
        if (move.getStage() == MoveStage.TAKEN_BACK) {
            return MoveReport.State.ROLLED_BACK;
        }
        boolean isDone =
                move.getStage() == MoveStage.DONE
                        && VersionMoveController.mayReportDone(move, timeSource.millis());
        return isDone ? MoveReport.State.DONE : MoveReport.State.RUNNING;
    }

    private void respondUnavailable(HttpExchange exchange, String order, String reason) {
        log.write("order-not-confirmed", "order", order, "reason", reason);
        exchange.respond(HttpReply.createText(503, "not confirmed, ask again\n"));
    }
}
