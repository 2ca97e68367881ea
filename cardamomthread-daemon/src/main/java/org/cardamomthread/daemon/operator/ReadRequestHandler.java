package org.cardamomthread.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.Service;
import org.cardamomthread.configuration.state.ConfigurationView;
import org.cardamomthread.configuration.state.DataCentreState;
import org.cardamomthread.configuration.state.VersionMove;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.RequestId;

/** Handles the read-only operator requests. Immutable and thread-safe. */
final class ReadRequestHandler {

    private final ControlPlane controlPlane;

    ReadRequestHandler(ControlPlane controlPlane) {
        this.controlPlane = controlPlane;
    }

    OperatorResponse configuration() {
        ConfigurationView view = controlPlane.configuration();
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("revision", view.revision());
        body.put("declarationsRevision", view.declarationsRevision());
        body.put("digest", view.declarations().digest());
        body.set("declarations", view.declarations().toTree());
        return createOkResponse(body);
    }

    OperatorResponse versionMoves() {
        ConfigurationView view = controlPlane.configuration();
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        putMoves(body, view);
        return createOkResponse(body);
    }

    Optional<OperatorResponse> versionMove(OperationId id) {
        ConfigurationView view = controlPlane.configuration();
        return view.findVersionMove(id)
                .map(move -> createOkResponse(toTree(move, view.declarations())));
    }

    Optional<OperatorResponse> explanation(RequestId id) {
        return controlPlane
                .explain(id)
                .map(StatusJson::toTree)
                .map(ReadRequestHandler::createOkResponse);
    }

    OperatorResponse status() {
        ConfigurationView view = controlPlane.configuration();
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("revision", view.revision());
        body.put("digest", view.declarations().digest());
        body.setAll(StatusJson.toTree(controlPlane.status()));
        putDataCentres(body, view);
        putMoves(body, view);
        return createOkResponse(body);
    }

    private void putDataCentres(ObjectNode body, ConfigurationView view) {
        ArrayNode dataCentres = body.putArray("dataCentres");
        for (DataCentreId id : view.declarations().dataCentres().keySet()) {
            DataCentreState state = controlPlane.dataCentreState(id);
            ObjectNode dataCentre = dataCentres.addObject();
            dataCentre.put("id", id.value());
            dataCentre.put("state", state.drained() ? "out" : "in");
            dataCentre.put("epoch", state.epoch());
            dataCentre.put("confirmed", state.equals(view.dataCentreState(id)));
        }
    }

    private static void putMoves(ObjectNode body, ConfigurationView view) {
        ArrayNode moves = body.putArray("versionMoves");
        for (VersionMove move : view.versionMoves()) {
            moves.add(toTree(move, view.declarations()));
        }
    }

    private static ObjectNode toTree(VersionMove move, Declarations declarations) {
        ObjectNode tree = JsonNodeFactory.instance.objectNode();
        tree.put("id", move.id().value());
        tree.put("service", move.service().value());
        tree.put("from", move.from().value());
        tree.put("to", move.to().value());
        tree.put("by", move.deadline().toString());
        tree.put("startedAt", move.startedAt().toString());
        tree.put("changedAt", move.changedAt().toString());
        tree.put("state", toStateText(move.state()));
        tree.put("step", move.step());
        tree.put("share", getNewVersionShare(move, declarations));
        tree.put("reason", move.reason());
        return tree;
    }

    private static String toStateText(VersionMove.State state) {
        return switch (state) {
            case RUNNING -> "running";
            case DONE -> "done";
            case ROLLED_BACK -> "taken-back";
        };
    }

    /** Returns the share of calls that the new version gets. */
    private static double getNewVersionShare(VersionMove move, Declarations declarations) {
        if (move.state() == VersionMove.State.ROLLED_BACK) {
            return 0.0;
        }
        if (move.state() == VersionMove.State.DONE) {
            return 1.0;
        }
        return declarations
                .findService(move.service())
                .map(Service::rollout)
                .map(
                        rollout ->
                                rollout.steps()
                                        .get(Math.min(move.step(), rollout.steps().size() - 1)))
                .orElse(0.0);
    }

    private static OperatorResponse createOkResponse(JsonNode body) {
        return new OperatorResponse(200, "application/json", body.toString(), Map.of());
    }
}
