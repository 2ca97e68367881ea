package org.cardamomthread.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cardamomthread.configuration.declaration.DeclarationChange;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.configuration.declaration.DeclarationsDifference;
import org.cardamomthread.configuration.declaration.DeclarationsLoader;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.generated.ConfigurationCommand;
import org.cardamomthread.configuration.state.ConfigurationCommands;
import org.cardamomthread.configuration.state.ConfigurationResult;
import org.cardamomthread.configuration.state.ConfigurationResult.Accepted;
import org.cardamomthread.configuration.state.ConfigurationResult.Rejected;
import org.cardamomthread.configuration.state.ConfigurationResult.Stale;
import org.cardamomthread.configuration.state.DataCentreState;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.id.VersionId;
import org.cardamomthread.core.time.TimeSource;

/** Handles the operator requests that change the configuration. Immutable and thread-safe. */
final class ChangeRequestHandler {

    private static final String OPERATION_ID = "operationId";
    private static final String STATE = "state";
    private static final String REVISION = "revision";
    private static final String CONFIRMED = "confirmed";

    private final ControlPlane controlPlane;
    private final TimeSource timeSource;
    private final ProposalTimeouts timeouts;
    private final DeclarationsLoader loader = new DeclarationsLoader();

    ChangeRequestHandler(
            ControlPlane controlPlane, TimeSource timeSource, ProposalTimeouts timeouts) {
        this.controlPlane = controlPlane;
        this.timeSource = timeSource;
        this.timeouts = timeouts;
    }

    CompletableFuture<OperatorResponse> applyDeclarations(String text)
            throws InvalidOperatorRequestException, InvalidDocumentException {
        RequestBody body =
                RequestBody.parse(text, Set.of(OPERATION_ID, "baseRevision", "declarations"));
        OperationId operation = body.readOperationId();
        long baseRevision = body.readRevision("baseRevision");
        Declarations declarations = loader.load("declarations", body.readObject("declarations"));
        return propose(
                        ConfigurationCommands.applyDeclarations(
                                operation,
                                baseRevision,
                                declarations,
                                controlPlane.configuration()),
                        timeouts.changeMs())
                .thenApply(result -> addDifferences(result, declarations))
                .thenApply(result -> toResponse(result, createAcceptedBody(result)));
    }

    /**
     * Adds the differences to the declarations that are active on this node if the group's conflict
     * result lists none.
     */
    private ConfigurationResult addDifferences(
            ConfigurationResult result, Declarations newDeclarations) {
        if (!(result instanceof Stale stale) || stale.differenceCount() > 0) {
            return result;
        }
        Declarations activeDeclarations = controlPlane.configuration().declarations();
        return Stale.of(
                stale.revision(),
                DeclarationsDifference.between(activeDeclarations, newDeclarations).stream()
                        .map(DeclarationChange::toString)
                        .toList());
    }

    CompletableFuture<OperatorResponse> startVersionMove(String text)
            throws InvalidOperatorRequestException {
        RequestBody body = RequestBody.parse(text, Set.of(OPERATION_ID, "service", "to", "by"));
        OperationId operation = body.readOperationId();
        ServiceId service = body.readId("service", ServiceId::new);
        VersionId to = body.readId("to", VersionId::new);
        Instant deadline = body.readInstant("by");
        return propose(
                        ConfigurationCommands.startVersionMove(
                                operation, service, to, deadline, timeSource.instant()),
                        timeouts.changeMs())
                .thenApply(
                        result ->
                                toResponse(
                                        result,
                                        createAcceptedBody(result).put("id", operation.value())));
    }

    /**
     * Drains a data centre or returns it to service. If the configuration group is unreachable, a
     * drain is applied on this node and distributed by gossip. It is not distributed earlier, since
     * only the group can recognize the retry of a drain that has since been followed by a return.
     */
    CompletableFuture<OperatorResponse> setDataCentreState(
            DataCentreId id, boolean out, String text) throws InvalidOperatorRequestException {
        RequestBody body = RequestBody.parse(text, Set.of(OPERATION_ID));
        OperationId operation = body.readOperationId();
        if (!controlPlane.configuration().declarations().dataCentres().containsKey(id)) {
            return CompletableFuture.completedFuture(createUnknownDataCentreResponse(id));
        }
        DataCentreState currentState = controlPlane.dataCentreState(id);
        DataCentreState targetState =
                currentState.drained() == out && currentState.epoch() > 0
                        ? currentState
                        : new DataCentreState(out, currentState.epoch() + 1);
        return propose(
                        ConfigurationCommands.setDataCentreState(operation, id, targetState),
                        out ? timeouts.drainMs() : timeouts.changeMs())
                .thenApply(
                        result -> toResponse(result, createDataCentreBody(id, targetState, result)))
                .exceptionally(failure -> handleUnconfirmed(id, targetState, failure));
    }

    /**
     * Proposes a command and stops waiting after a timeout; the command may still be committed
     * afterwards.
     */
    private CompletableFuture<ConfigurationResult> propose(
            ConfigurationCommand command, long timeoutMs) {
        return controlPlane
                .propose(command)
                .copy()
                .orTimeout(timeoutMs, TimeUnit.MILLISECONDS)
                .exceptionallyCompose(
                        failure ->
                                CompletableFuture.failedFuture(
                                        describeFailure(failure, timeoutMs)));
    }

    private static Throwable describeFailure(Throwable failure, long timeoutMs) {
        if (!(failure instanceof TimeoutException)) {
            return failure;
        }
        return new ProposalFailedException(
                "the configuration group did not answer within " + timeoutMs + " ms", false);
    }

    private OperatorResponse handleUnconfirmed(
            DataCentreId id, DataCentreState targetState, Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (!targetState.drained() || !(cause instanceof ProposalFailedException)) {
            return FailureResponses.of(cause);
        }
        controlPlane.gossipDataCentreState(id, targetState);
        ObjectNode body = createStateBody(id, targetState);
        body.put("epoch", targetState.epoch());
        body.put(CONFIRMED, false);
        body.put(
                "detail",
                "applied on the nodes that this node can reach; the configuration group has not"
                        + " confirmed it: "
                        + cause.getMessage());
        body.put(
                "remedy",
                "send it to a node in each other partition as well, and watch the status");
        return createJsonResponse(202, body);
    }

    private OperatorResponse createUnknownDataCentreResponse(DataCentreId id) {
        return new OperatorProblem(
                        404,
                        "unknown-data-centre",
                        "The data centre is not declared",
                        "data centre \"" + id + "\" is not declared",
                        "use one of "
                                + controlPlane.configuration().declarations().dataCentres().keySet()
                                + ", or declare it")
                .toResponse();
    }

    private static ObjectNode createAcceptedBody(ConfigurationResult result) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put(REVISION, result.revision());
        body.put(STATE, "accepted");
        return body;
    }

    private static ObjectNode createDataCentreBody(
            DataCentreId id, DataCentreState state, ConfigurationResult result) {
        ObjectNode body = createStateBody(id, state);
        body.put(CONFIRMED, true);
        body.put(REVISION, result.revision());
        return body;
    }

    private static ObjectNode createStateBody(DataCentreId id, DataCentreState state) {
        ObjectNode body = JsonNodeFactory.instance.objectNode();
        body.put("dataCentre", id.value());
        body.put(STATE, state.drained() ? "out" : "in");
        return body;
    }

    private static OperatorResponse toResponse(
            ConfigurationResult result, ObjectNode acceptedBody) {
        if (result instanceof Accepted) {
            return createJsonResponse(200, acceptedBody);
        }
        return result instanceof Stale stale
                ? createConflictResponse(stale)
                : createRejectionResponse((Rejected) result);
    }

    private static OperatorResponse createConflictResponse(Stale stale) {
        OperatorProblem problem =
                new OperatorProblem(
                        409,
                        "stale-revision",
                        "The configuration has changed since",
                        "the change was made against an earlier revision than " + stale.revision(),
                        "read the configuration, make the change against its revision and send it"
                                + " with a new operationId");
        problem.document().put("currentRevision", stale.revision());
        problem.document().put("differenceCount", stale.differenceCount());
        ArrayNode differences = problem.document().putArray("differences");
        stale.differences().forEach(differences::add);
        return problem.toResponse();
    }

    private static OperatorResponse createRejectionResponse(Rejected rejected) {
        OperatorProblem problem =
                new OperatorProblem(
                        422,
                        "rejected",
                        "The change is not possible",
                        rejected.reason(),
                        rejected.remedy());
        problem.document().put("currentRevision", rejected.revision());
        return problem.toResponse();
    }

    private static OperatorResponse createJsonResponse(int status, ObjectNode body) {
        return new OperatorResponse(status, "application/json", body.toString(), Map.of());
    }
}
