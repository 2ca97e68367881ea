package org.cardamomthread.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.InvalidDocumentException;

/** Builds the responses to failed requests. Stateless and thread-safe. */
final class FailureResponses {

    private FailureResponses() {}

    static OperatorResponse of(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof ProposalFailedException proposal) {
            return ofProposal(proposal);
        }
        OperatorProblem problem =
                new OperatorProblem(
                        500,
                        "internal",
                        "The node failed to answer",
                        String.valueOf(cause),
                        "send the request again with the same operationId, and report the fault");
        problem.document().put("execution", "unknown");
        return problem.toResponse();
    }

    static OperatorResponse ofDeclarations(InvalidDocumentException invalid) {
        OperatorProblem problem =
                new OperatorProblem(
                        422,
                        "invalid-declarations",
                        "The declarations are wrong",
                        invalid.problems().size() + " errors were found",
                        "correct each of the errors; cardamomthread validate shows their lines");
        ArrayNode errors = problem.document().putArray("errors");
        for (DocumentProblem documentProblem : invalid.problems()) {
            ObjectNode error = errors.addObject();
            error.put("key", documentProblem.key());
            error.put("detail", documentProblem.detail());
            error.put("remedy", documentProblem.remedy());
        }
        return problem.toResponse();
    }

    private static OperatorResponse ofProposal(ProposalFailedException failure) {
        OperatorProblem problem =
                new OperatorProblem(
                        503,
                        failure.isNotAppended() ? "unavailable" : "outcome-unknown",
                        failure.isNotAppended()
                                ? "The configuration group is out of reach"
                                : "The outcome of the change is unknown",
                        failure.getMessage(),
                        "send the request again with the same operationId, here or to another"
                                + " node");
        problem.document().put("execution", failure.isNotAppended() ? "not-run" : "unknown");
        return problem.toResponse(Map.of("Retry-After", "1"));
    }
}
