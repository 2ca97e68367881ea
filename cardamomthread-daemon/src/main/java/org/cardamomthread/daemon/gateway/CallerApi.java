package org.cardamomthread.daemon.gateway;

import io.netty.handler.codec.http.HttpMethod;
import io.opentelemetry.api.trace.Span;
import java.util.Optional;
import java.util.UUID;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.configuration.declaration.Declarations;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.RouteId;
import org.cardamomthread.daemon.gateway.CallTargetResolver.UnknownTargetException;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.ProblemDetail;
import org.cardamomthread.daemon.http.RequestTargets;
import org.cardamomthread.daemon.http.ServerRequest;

/**
 * Handles callers' requests: authenticates the client account, resolves the target of the call,
 * applies the account's concurrency limit, and starts the call.
 *
 * <p>Thread-safe.
 */
public final class CallerApi implements HttpHandler {

    private static final String SERVICES_PREFIX = "/services/";
    private static final RouteId CHAT_ROUTE = new RouteId("chat-completions");
    private static final RouteId COMPLETION_ROUTE = new RouteId("completions");

    private final DeclarationsProvider declarationsProvider;
    private final AccountConcurrencyLimiter limiter = new AccountConcurrencyLimiter();
    private final CallStarter starter;
    private final JobApi jobs;
    private final CallTelemetry telemetry;

    /**
     * Creates the handler.
     *
     * @param declarationsProvider provides the current declarations
     * @param starter starts calls that have been admitted
     * @param jobs handles requests below {@code /v1/jobs}
     * @param telemetry the components that each call reports to
     */
    CallerApi(
            DeclarationsProvider declarationsProvider,
            CallStarter starter,
            JobApi jobs,
            CallTelemetry telemetry) {
        this.declarationsProvider = declarationsProvider;
        this.starter = starter;
        this.jobs = jobs;
        this.telemetry = telemetry;
    }

    @Override
    public void handle(HttpExchange exchange) {
        ServerRequest request = exchange.getRequest();
        RequestId requestId = resolveRequestId(request);
        Declarations declarations = declarationsProvider.getDeclarations();
        Optional<ClientAccount> account =
                request.getBearerToken().flatMap(declarations::findAccountByToken);
        if (account.isEmpty()) {
            refuse(exchange, requestId, createUnauthorizedProblem());
            return;
        }
        Optional<ProblemDetail> targetProblem =
                RequestTargets.findProblem(request.method(), request.target());
        if (targetProblem.isPresent()) {
            refuse(exchange, requestId, targetProblem.get());
            return;
        }
        try {
            route(exchange, requestId, declarations, account.get());
        } catch (UnknownTargetException unknown) {
            refuse(exchange, requestId, unknown.getProblem());
        } catch (InvalidRequestException invalid) {
            ProblemDetail problem =
                    ProblemDetail.createNotRun(
                            400, "invalid-request", "Invalid request", invalid.getMessage());
            refuse(exchange, requestId, problem);
        }
    }

    private void route(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account)
            throws UnknownTargetException, InvalidRequestException {
        ServerRequest request = exchange.getRequest();
        String path = request.path();
        boolean isPost = request.method().equals(HttpMethod.POST);
        if (isPost && path.equals("/v1/chat/completions")) {
            startModelCall(exchange, requestId, declarations, account, CHAT_ROUTE);
        } else if (isPost && path.equals("/v1/completions")) {
            startModelCall(exchange, requestId, declarations, account, COMPLETION_ROUTE);
        } else if (path.startsWith(SERVICES_PREFIX)) {
            startPlainCall(exchange, requestId, declarations, account);
        } else if (JobApi.handles(path)) {
            jobs.handle(exchange, requestId, declarations, account);
        } else {
            refuse(exchange, requestId, createNotFoundProblem(request));
        }
    }

    private void startModelCall(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account,
            RouteId route)
            throws UnknownTargetException, InvalidRequestException {
        ModelRequest request = ModelRequest.parse(exchange.getRequest().body());
        CallTarget target =
                CallTargetResolver.resolveModelCall(declarations, request.getServiceName(), route);
        CallContext context = createContext(exchange, requestId, account, target);
        admit(account, context, () -> starter.startModelCall(context, request));
    }

    private void startPlainCall(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account)
            throws UnknownTargetException {
        ServerRequest request = exchange.getRequest();
        String servicePath = request.path().substring(SERVICES_PREFIX.length());
        int slash = servicePath.indexOf('/');
        String service = slash < 0 ? servicePath : servicePath.substring(0, slash);
        String path = slash < 0 ? "/" : servicePath.substring(slash);
        String query = request.target().substring(request.path().length());
        CallTarget target =
                CallTargetResolver.resolvePlainCall(
                        declarations, service, request.method().name(), path);
        CallContext context = createContext(exchange, requestId, account, target);
        admit(account, context, () -> starter.startPlainCall(context, path + query));
    }

    private void admit(ClientAccount account, CallContext context, Runnable action) {
        Runnable startAction =
                () -> {
                    context.onEnd(() -> limiter.release(account.id()));
                    action.run();
                };
        context.getExchange()
                .onDisconnect(
                        () -> {
                            if (limiter.cancelQueued(account.id(), startAction)) {
                                context.end(
                                        CallOutcome.CANCELLED,
                                        "the caller closed the connection while the call was"
                                                + " queued");
                            }
                        });
        if (limiter.submit(account, startAction) == AccountConcurrencyLimiter.Admission.REFUSED) {
            context.respondWithProblem(createAccountLimitProblem(account));
        }
    }

    private CallContext createContext(
            HttpExchange exchange, RequestId requestId, ClientAccount account, CallTarget target) {
        Span span =
                telemetry
                        .tracing()
                        .startServerSpan("caller request", exchange.getRequest().headers());
        span.setAttribute("cardamomthread.request_id", requestId.value());
        span.setAttribute("cardamomthread.service", target.service().value());
        return new CallContext(exchange, requestId, account.id(), target, span, telemetry);
    }

    private static RequestId resolveRequestId(ServerRequest request) {
        return new RequestId(
                request.getHeader("x-request-id")
                        .filter(Identifiers::isValid)
                        .orElseGet(() -> UUID.randomUUID().toString()));
    }

    private static void refuse(HttpExchange exchange, RequestId requestId, ProblemDetail problem) {
        exchange.respond(problem.toResponse(requestId.value()));
    }

    private static ProblemDetail createUnauthorizedProblem() {
        return ProblemDetail.createNotRun(
                401,
                "unauthorized",
                "Unknown client account",
                "the bearer token is missing or belongs to no client account: send the account's"
                        + " token");
    }

    private static ProblemDetail createNotFoundProblem(ServerRequest request) {
        return ProblemDetail.createNotRun(
                404,
                "not-found",
                "Not found",
                String.format(
                        "%s %s is not supported: use /v1/chat/completions, /v1/completions,"
                                + " /v1/jobs or /services/{service}/",
                        request.method(), request.path()));
    }

    private static ProblemDetail createAccountLimitProblem(ClientAccount account) {
        return ProblemDetail.createNotRun(
                        429,
                        "account-limit",
                        "Too many calls",
                        String.format(
                                "client account \"%s\" has reached its limits of %d running and %d"
                                        + " queued calls on this node: retry later, or raise"
                                        + " maxConcurrent",
                                account.id(), account.maxConcurrent(), account.queueLength()))
                .withRetryAfterS(1);
    }
}
