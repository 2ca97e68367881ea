package org.cardamomthread.daemon.operator;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.settings.Secret;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.OperationId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.time.TimeSource;

/**
 * Routes the requests of operators.
 *
 * <p>Each request must carry one of the operator tokens. Each change carries an operation id; a
 * change with the id of an earlier one returns the result of that one. Immutable and thread-safe.
 */
public final class OperatorApi {

    private static final String BEARER = "Bearer ";
    private static final String VERSION_MOVES = "version-moves";
    private static final int API_VERSION_SEGMENT = 1;

    private final List<Secret> tokens;
    private final ReadRequestHandler queries;
    private final ChangeRequestHandler changes;

    /**
     * Creates the API.
     *
     * @param tokens the operator tokens; must not be empty
     * @param controlPlane performs the operations
     * @param timeSource the clock for the timestamps of version moves
     */
    public OperatorApi(List<Secret> tokens, ControlPlane controlPlane, TimeSource timeSource) {
        this(tokens, controlPlane, timeSource, ProposalTimeouts.DEFAULT);
    }

    /**
     * Creates the API with custom timeouts.
     *
     * @param tokens the operator tokens; must not be empty
     * @param controlPlane performs the operations
     * @param timeSource the clock for the timestamps of version moves
     * @param timeouts the maximum times to wait for the configuration group
     */
    public OperatorApi(
            List<Secret> tokens,
            ControlPlane controlPlane,
            TimeSource timeSource,
            ProposalTimeouts timeouts) {
        if (tokens.isEmpty()) {
            throw new IllegalArgumentException("tokens must contain at least one token");
        }
        this.tokens = List.copyOf(tokens);
        this.queries = new ReadRequestHandler(controlPlane);
        this.changes = new ChangeRequestHandler(controlPlane, timeSource, timeouts);
    }

    /**
     * Handles a request.
     *
     * @param request the request
     * @return completes with the response; never fails, since failures become responses
     */
    public CompletableFuture<OperatorResponse> handle(OperatorRequest request) {
        if (!isAuthorized(request)) {
            return completed(createUnauthorizedResponse());
        }
        try {
            return route(request).exceptionally(FailureResponses::of);
        } catch (InvalidOperatorRequestException e) {
            return completed(createInvalidRequestResponse(e.getMessage(), e.remedy()));
        } catch (InvalidDocumentException e) {
            return completed(FailureResponses.ofDeclarations(e));
        } catch (RuntimeException e) {
            return completed(FailureResponses.of(e));
        }
    }

    /** Compares with every token, so that the response time does not reveal which one matches. */
    private boolean isAuthorized(OperatorRequest request) {
        String header = request.authorization().orElse("");
        boolean isBearer = header.regionMatches(true, 0, BEARER, 0, BEARER.length());
        String presented = isBearer ? header.substring(BEARER.length()).strip() : "";
        boolean isMatched = false;
        for (Secret token : tokens) {
            isMatched |= token.matches(presented);
        }
        return isMatched;
    }

    private CompletableFuture<OperatorResponse> route(OperatorRequest request)
            throws InvalidOperatorRequestException, InvalidDocumentException {
        List<String> segments = List.of(request.path().split("/", -1));
        boolean isKnown = segments.size() >= 3 && segments.get(API_VERSION_SEGMENT).equals("v1");
        if (!isKnown) {
            return completed(createNotFoundResponse(request.path()));
        }
        List<String> resource = segments.subList(API_VERSION_SEGMENT + 1, segments.size());
        return switch (resource.size()) {
            case 1 -> routeCollection(request, resource.get(0));
            case 2 -> routeMember(request, resource.get(0), resource.get(1));
            case 3 -> routeAction(request, resource);
            default -> completed(createNotFoundResponse(request.path()));
        };
    }

    private CompletableFuture<OperatorResponse> routeCollection(
            OperatorRequest request, String name) throws InvalidOperatorRequestException {
        switch (name) {
            case "configuration":
                return respondToGet(request, Optional.of(queries.configuration()));
            case "status":
                return respondToGet(request, Optional.of(queries.status()));
            case VERSION_MOVES:
                return request.method().equals("POST")
                        ? changes.startVersionMove(request.body())
                        : respondToGet(request, Optional.of(queries.versionMoves()));
            default:
                return completed(createNotFoundResponse(request.path()));
        }
    }

    private CompletableFuture<OperatorResponse> routeMember(
            OperatorRequest request, String name, String id)
            throws InvalidOperatorRequestException, InvalidDocumentException {
        if (name.equals("configuration") && id.equals("changes")) {
            return request.method().equals("POST")
                    ? changes.applyDeclarations(request.body())
                    : completed(createMethodNotAllowedResponse(request, "POST"));
        }
        return switch (name) {
            case VERSION_MOVES ->
                    respondToGet(request, queries.versionMove(parseId(id, OperationId::new)));
            case "explanations" ->
                    respondToGet(request, queries.explanation(parseId(id, RequestId::new)));
            default -> completed(createNotFoundResponse(request.path()));
        };
    }

    private CompletableFuture<OperatorResponse> routeAction(
            OperatorRequest request, List<String> resource) throws InvalidOperatorRequestException {
        String action = resource.get(2);
        boolean isKnown = action.equals("drain") || action.equals("return");
        if (!resource.get(0).equals("data-centres") || !isKnown) {
            return completed(createNotFoundResponse(request.path()));
        }
        if (!request.method().equals("POST")) {
            return completed(createMethodNotAllowedResponse(request, "POST"));
        }
        DataCentreId dataCentre = parseId(resource.get(1), DataCentreId::new);
        return changes.setDataCentreState(dataCentre, action.equals("drain"), request.body());
    }

    private static <T> T parseId(String text, Function<String, T> constructor)
            throws InvalidOperatorRequestException {
        try {
            return constructor.apply(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidOperatorRequestException(e.getMessage(), "name an id of this form");
        }
    }

    private static CompletableFuture<OperatorResponse> respondToGet(
            OperatorRequest request, Optional<OperatorResponse> found) {
        if (!request.method().equals("GET")) {
            return completed(createMethodNotAllowedResponse(request, "GET"));
        }
        return completed(found.orElseGet(() -> createNotFoundResponse(request.path())));
    }

    private static OperatorResponse createUnauthorizedResponse() {
        return new OperatorProblem(
                        401,
                        "unauthorized",
                        "The token is missing or unknown",
                        "the request carries no valid operator token",
                        "send Authorization: Bearer with a token from secrets/operatorTokens")
                .toResponse(Map.of("WWW-Authenticate", "Bearer"));
    }

    private static OperatorResponse createNotFoundResponse(String path) {
        return new OperatorProblem(
                        404,
                        "not-found",
                        "There is no such resource",
                        "the path " + path + " is unknown to this node",
                        "see docs/PROTOCOLS.md for the paths, or ask another node")
                .toResponse();
    }

    private static OperatorResponse createMethodNotAllowedResponse(
            OperatorRequest request, String allowed) {
        return new OperatorProblem(
                        405,
                        "method-not-allowed",
                        "The method is not allowed here",
                        request.method() + " is not allowed on " + request.path(),
                        "use " + allowed)
                .toResponse(Map.of("Allow", allowed));
    }

    private static OperatorResponse createInvalidRequestResponse(String detail, String remedy) {
        return new OperatorProblem(
                        400, "invalid-request", "The request has the wrong form", detail, remedy)
                .toResponse();
    }

    private static CompletableFuture<OperatorResponse> completed(OperatorResponse response) {
        return CompletableFuture.completedFuture(response);
    }
}
