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
import org.cardamomthread.daemon.gateway.CallClassifier.UnknownTargetException;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.http.Problem;

/**
 * Answers callers: identifies the client account and the target of each call, lets it in, and
 * starts it.
 *
 * <p>Safe for use by several threads.
 */
public final class CallerApi implements HttpHandler {

    private static final String SERVICES_PREFIX = "/services/";
    private static final RouteId CHAT_ROUTE = new RouteId("chat-completions");
    private static final RouteId COMPLETION_ROUTE = new RouteId("completions");

    private final ConfigurationSource configuration;
    private final AccountGate gate = new AccountGate();
    private final CallStarter starter;
    private final JobApi jobs;
    private final CallTelemetry telemetry;

    /**
     * Creates the handler.
     *
     * @param configuration gives the declarations in force
     * @param starter starts admitted calls
     * @param jobs answers calls about patient work
     * @param telemetry what each call reports to
     */
    CallerApi(
            ConfigurationSource configuration,
            CallStarter starter,
            JobApi jobs,
            CallTelemetry telemetry) {
        this.configuration = configuration;
        this.starter = starter;
        this.jobs = jobs;
        this.telemetry = telemetry;
    }

    @Override
    public void handle(HttpExchange exchange) {
        HttpCall call = exchange.getCall();
        RequestId requestId = resolveRequestId(call);
        Declarations declarations = configuration.getDeclarations();
        Optional<ClientAccount> account =
                call.getBearerToken().flatMap(declarations::findAccountByToken);
        if (account.isEmpty()) {
            refuse(exchange, requestId, createUnauthorizedProblem());
            return;
        }
        try {
            route(exchange, requestId, declarations, account.get());
        } catch (UnknownTargetException unknown) {
            refuse(exchange, requestId, unknown.getProblem());
        } catch (InvalidRequestException invalid) {
            Problem problem =
                    Problem.createNotRun(
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
        HttpCall call = exchange.getCall();
        String path = call.path();
        boolean isPost = call.method().equals(HttpMethod.POST);
        if (isPost && path.equals("/v1/chat/completions")) {
            startModel(exchange, requestId, declarations, account, CHAT_ROUTE);
        } else if (isPost && path.equals("/v1/completions")) {
            startModel(exchange, requestId, declarations, account, COMPLETION_ROUTE);
        } else if (path.startsWith(SERVICES_PREFIX)) {
            startPlain(exchange, requestId, declarations, account);
        } else if (JobApi.handles(path)) {
            jobs.handle(exchange, requestId, declarations, account);
        } else {
            refuse(exchange, requestId, createNotFoundProblem(call));
        }
    }

    private void startModel(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account,
            RouteId route)
            throws UnknownTargetException, InvalidRequestException {
        ModelRequest request = ModelRequest.parse(exchange.getCall().body());
        CallTarget target =
                CallClassifier.classifyModel(declarations, request.getServiceName(), route);
        CallScope scope = createScope(exchange, requestId, account, target);
        admit(account, scope, () -> starter.startModel(scope, request));
    }

    private void startPlain(
            HttpExchange exchange,
            RequestId requestId,
            Declarations declarations,
            ClientAccount account)
            throws UnknownTargetException {
        HttpCall call = exchange.getCall();
        String rest = call.path().substring(SERVICES_PREFIX.length());
        int end = rest.indexOf('/');
        String service = end < 0 ? rest : rest.substring(0, end);
        String path = end < 0 ? "/" : rest.substring(end);
        CallTarget target =
                CallClassifier.classifyPlain(declarations, service, call.method().name(), path);
        String endpointTarget = call.query().isEmpty() ? path : path + "?" + call.query();
        CallScope scope = createScope(exchange, requestId, account, target);
        admit(account, scope, () -> starter.startPlain(scope, endpointTarget));
    }

    private void admit(ClientAccount account, CallScope scope, Runnable action) {
        Runnable admitted =
                () -> {
                    scope.onEnd(() -> gate.leave(account.id()));
                    action.run();
                };
        scope.getExchange()
                .onDisconnect(
                        () -> {
                            if (gate.withdraw(account.id(), admitted)) {
                                scope.end(CallOutcome.CANCELLED, "the caller left the queue");
                            }
                        });
        if (gate.enter(account, admitted) == AccountGate.Entry.REFUSED) {
            scope.refuse(createAccountFullProblem(account));
        }
    }

    private CallScope createScope(
            HttpExchange exchange, RequestId requestId, ClientAccount account, CallTarget target) {
        Span span =
                telemetry.tracing().startServerSpan("caller request", exchange.getCall().headers());
        span.setAttribute("cardamomthread.request_id", requestId.value());
        span.setAttribute("cardamomthread.service", target.service().value());
        return new CallScope(exchange, requestId, account.id(), target, span, telemetry);
    }

    private static RequestId resolveRequestId(HttpCall call) {
        return new RequestId(
                call.getHeader("x-request-id")
                        .filter(Identifiers::isValid)
                        .orElseGet(() -> UUID.randomUUID().toString()));
    }

    private static void refuse(HttpExchange exchange, RequestId requestId, Problem problem) {
        exchange.respond(problem.toReply(requestId.value()));
    }

    private static Problem createUnauthorizedProblem() {
        return Problem.createNotRun(
                401,
                "unauthorized",
                "Unknown client account",
                "the bearer token belongs to no client account: present the account's token");
    }

    private static Problem createNotFoundProblem(HttpCall call) {
        return Problem.createNotRun(
                404,
                "not-found",
                "Not found",
                String.format(
                        "%s %s is not served: see /v1/chat/completions, /v1/completions, /v1/jobs"
                                + " and /services/{service}/",
                        call.method(), call.path()));
    }

    private static Problem createAccountFullProblem(ClientAccount account) {
        return Problem.createNotRun(
                        429,
                        "account-limit",
                        "Too many calls",
                        String.format(
                                "client account \"%s\" has %d calls running and %d waiting on this"
                                        + " node: send the call later, or raise maxConcurrent",
                                account.id(), account.maxConcurrent(), account.queueLength()))
                .withRetryAfterS(1);
    }
}
