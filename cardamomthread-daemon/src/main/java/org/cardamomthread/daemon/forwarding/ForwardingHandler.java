package org.cardamomthread.daemon.forwarding;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.traffic.RouteTable;
import org.cardamomthread.configuration.traffic.TrafficAccount;
import org.cardamomthread.configuration.traffic.TrafficRoute;
import org.cardamomthread.configuration.traffic.TrafficService;
import org.cardamomthread.configuration.traffic.WeightedService;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.dialect.RequestHead;
import org.cardamomthread.daemon.http.HttpCall;
import org.cardamomthread.daemon.http.HttpExchange;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.view.GatewayView;

/**
 * Admits callers' requests by route, key and quota, and forwards them.
 *
 * <p>Runs on one event loop; {@link #applyView} too.
 */
public final class ForwardingHandler implements HttpHandler {

    /** Pause for a client of a gateway that has no trustworthy view; it may reach another one. */
    private static final long NO_VIEW_RETRY_AFTER_MS = 500;

    /** Shortest pause after a refusal by quota, so that clients do not come back at once. */
    private static final long MIN_QUOTA_RETRY_AFTER_MS = 100;

    private static final long MAX_QUOTA_RETRY_AFTER_MS = 5_000;

    private final ForwardingContext context;
    private final EndpointTable endpoints;
    private final RandomGenerator random;
    private GatewayView view = GatewayView.EMPTY;

    ForwardingHandler(ForwardingContext services, EndpointTable table, RandomGenerator random) {
        this.context = services;
        this.endpoints = table;
        this.random = random;
    }

    /** Puts a new view in force. */
    void applyView(GatewayView newView) {
        boolean isChange =
                newView.revision() != view.revision()
                        || newView.endpoints().size() != view.endpoints().size()
                        || newView.gatewayCount() != view.gatewayCount();
        view = newView;
        if (isChange) {
            context.forwardingLog().logViewChange(newView);
        }
        endpoints.apply(newView);
        context.quotaShares().applyView(newView);
        context.retryBudget().setGatewayCount(newView.gatewayCount());
    }

    @Override
    public void handle(HttpExchange exchange) {
        HttpCall call = exchange.getCall();
        RequestHead head;
        try {
            head = context.dialect().decodeRequest(call);
        } catch (MalformedMessageException e) {
            RequestHead unknown =
                    new RequestHead(
                            new RequestId("none"),
                            OptionalLong.empty(),
                            OptionalLong.empty(),
                            0,
                            List.of());
            reject(
                    exchange,
                    unknown,
                    GatewayError.of(400, "malformed-request", "Malformed request", e.getMessage()));
            return;
        }
        if (view.routes().isEmpty()) {
            reject(exchange, head, noCurrentView("no traffic document has arrived yet"));
            return;
        }
        route(exchange, head, view.routes().get());
    }

    private void route(HttpExchange exchange, RequestHead head, RouteTable routes) {
        HttpCall call = exchange.getCall();
        Optional<TrafficRoute> route =
                routes.findRoute(call.getHeader("host").orElse(""), call.path());
        if (route.isEmpty()) {
            reject(
                    exchange,
                    head,
                    unlessViewIsStale(
                            GatewayError.of(
                                    404,
                                    "no-route",
                                    "No such route",
                                    "no route matches host and path: check both")));
            return;
        }
        Optional<TrafficAccount> account = Optional.empty();
        if (routes.hasAccounts() && !route.get().isPublic()) {
            account = call.getBearerToken().flatMap(routes::findAccount);
            if (!context.viewLease().isHeld()) {
                reject(
                        exchange,
                        head,
                        noCurrentView("this gateway is out of touch with the control nodes"));
                return;
            }
            if (account.isEmpty()) {
                reject(
                        exchange,
                        head,
                        GatewayError.of(
                                401,
                                "unknown-key",
                                "Unknown key",
                                "the request bears no key of a client account: send one"));
                return;
            }
        }
        admit(exchange, head, route.get(), account);
    }

    private void admit(
            HttpExchange exchange,
            RequestHead head,
            TrafficRoute route,
            Optional<TrafficAccount> account) {
        Optional<TrafficService> service = selectService(route);
        if (service.isEmpty()) {
            reject(exchange, head, noCurrentView("the document lacks the route's service"));
            return;
        }
        double amount = account.map(known -> quotaAmount(known, head)).orElse(0.0);
        Runnable forward = () -> forward(exchange, head, route, service.get(), account, amount);
        if (account.isEmpty() || context.quotaShares().tryTakeAboveReserve(account.get(), amount)) {
            forward.run();
            return;
        }
        context.quotaPoolClient()
                .request(
                        account.get().id(),
                        amount,
                        grant -> {
                            if (grant.isGranted()
                                    || context.quotaShares().tryTake(account.get(), amount)) {
                                forward.run();
                            } else {
                                rejectOverQuota(
                                        exchange, head, account.get(), amount, grant.waitMs());
                            }
                        });
    }

    private void rejectOverQuota(
            HttpExchange exchange,
            RequestHead head,
            TrafficAccount account,
            double amount,
            OptionalLong lentInMs) {
        long ownMs = context.quotaShares().waitMs(account, amount);
        long waitMs = Math.min(ownMs, lentInMs.orElse(ownMs));
        context.forwardingLog().logQuotaRejection(head, account, amount, waitMs);
        long retryMs =
                Math.min(MAX_QUOTA_RETRY_AFTER_MS, Math.max(MIN_QUOTA_RETRY_AFTER_MS, waitMs));
        reject(
                exchange,
                head,
                new GatewayError(
                        429,
                        "quota-exceeded",
                        "Quota exceeded",
                        "the client account has used up its quota: send less, or later",
                        OptionalLong.of(retryMs)));
    }

    private void forward(
            HttpExchange exchange,
            RequestHead head,
            TrafficRoute route,
            TrafficService service,
            Optional<TrafficAccount> account,
            double amount) {
        long nowMs = context.timeSource().monotonicMs();
        long timeoutMs = Math.min(route.timeoutMs(), head.timeoutMs().orElse(route.timeoutMs()));
        AdmittedRequest request =
                new AdmittedRequest(
                        head, view, route, service, account, amount, nowMs, nowMs + timeoutMs);
        context.metrics().begin(service.id());
        new ForwardedCall(context, exchange, request).start();
    }

    private Optional<TrafficService> selectService(TrafficRoute route) {
        double position = random.nextDouble() * route.totalWeight();
        for (WeightedService share : route.services()) {
            position -= share.weight();
            if (position < 0) {
                return view.routes().flatMap(routes -> routes.findService(share.service()));
            }
        }
        return Optional.empty();
    }

    private static double quotaAmount(TrafficAccount account, RequestHead head) {
        return account.countsTokens() ? head.maxTotalTokens().orElse(account.defaultTokens()) : 1;
    }

    /** A route may be missing only because the view is old; then the request may be sent again. */
    private GatewayError unlessViewIsStale(GatewayError refusal) {
        return context.viewLease().isHeld()
                ? refusal
                : noCurrentView("this gateway is out of touch with the control nodes");
    }

    private static GatewayError noCurrentView(String detail) {
        return GatewayError.unavailable("no-view", detail, NO_VIEW_RETRY_AFTER_MS);
    }

    private void reject(HttpExchange exchange, RequestHead head, GatewayError refusal) {
        context.metrics().refuse(refusal.type());
        context.forwardingLog()
                .logRejection(head, refusal.type(), refusal.status(), view.revision());
        exchange.respond(GatewayErrorRenderer.toReply(context.dialect(), head, refusal));
    }
}
