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
 * <p>Runs on one event loop; {@link #follow} too.
 */
public final class ForwardingApi implements HttpHandler {

    /** Pause for a client of a gateway that has no trustworthy view; it may reach another one. */
    private static final long NO_VIEW_RETRY_MS = 500;

    /** Shortest pause after a refusal by quota, so that clients do not come back at once. */
    private static final long MIN_QUOTA_RETRY_MS = 100;

    private static final long MAX_QUOTA_RETRY_MS = 5_000;

    private final ForwardingServices services;
    private final EndpointTable table;
    private final RandomGenerator random;
    private GatewayView view = GatewayView.EMPTY;

    ForwardingApi(ForwardingServices services, EndpointTable table, RandomGenerator random) {
        this.services = services;
        this.table = table;
        this.random = random;
    }

    /** Puts a new view in force. */
    void follow(GatewayView newView) {
        boolean isChange =
                newView.revision() != view.revision()
                        || newView.endpoints().size() != view.endpoints().size()
                        || newView.gateways() != view.gateways();
        view = newView;
        if (isChange) {
            services.decisions().logView(newView);
        }
        table.follow(newView);
        services.quotas().follow(newView);
        services.repeats().follow(newView.gateways());
    }

    @Override
    public void handle(HttpExchange exchange) {
        HttpCall call = exchange.getCall();
        RequestHead head;
        try {
            head = services.dialect().decodeRequest(call);
        } catch (MalformedMessageException e) {
            RequestHead unknown =
                    new RequestHead(
                            new RequestId("none"),
                            OptionalLong.empty(),
                            OptionalLong.empty(),
                            0,
                            List.of());
            refuse(
                    exchange,
                    unknown,
                    Refusal.of(400, "malformed-request", "Malformed request", e.getMessage()));
            return;
        }
        if (view.routes().isEmpty()) {
            refuse(exchange, head, noView("no traffic document has arrived yet"));
            return;
        }
        route(exchange, head, view.routes().get());
    }

    private void route(HttpExchange exchange, RequestHead head, RouteTable routes) {
        HttpCall call = exchange.getCall();
        Optional<TrafficRoute> route =
                routes.findRoute(call.getHeader("host").orElse(""), call.path());
        if (route.isEmpty()) {
            refuse(
                    exchange,
                    head,
                    staleSafe(
                            Refusal.of(
                                    404,
                                    "no-route",
                                    "No such route",
                                    "no route matches host and path: check both")));
            return;
        }
        Optional<TrafficAccount> account = Optional.empty();
        if (routes.hasAccounts() && !route.get().isPublic()) {
            account = call.getBearerToken().flatMap(routes::findAccount);
            if (!services.lease().isHeld()) {
                refuse(
                        exchange,
                        head,
                        noView("this gateway is out of touch with the control nodes"));
                return;
            }
            if (account.isEmpty()) {
                refuse(
                        exchange,
                        head,
                        Refusal.of(
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
        Optional<TrafficService> service = chooseService(route);
        if (service.isEmpty()) {
            refuse(exchange, head, noView("the document lacks the route's service"));
            return;
        }
        double amount = account.map(known -> countQuota(known, head)).orElse(0.0);
        Runnable forward = () -> forward(exchange, head, route, service.get(), account, amount);
        if (account.isEmpty() || services.quotas().tryTakeSurplus(account.get(), amount)) {
            forward.run();
            return;
        }
        services.borrower()
                .borrow(
                        account.get().id(),
                        amount,
                        grant -> {
                            if (grant.isGranted()
                                    || services.quotas().tryTake(account.get(), amount)) {
                                forward.run();
                            } else {
                                refuseOverQuota(
                                        exchange, head, account.get(), amount, grant.waitMs());
                            }
                        });
    }

    private void refuseOverQuota(
            HttpExchange exchange,
            RequestHead head,
            TrafficAccount account,
            double amount,
            OptionalLong lentInMs) {
        long ownMs = services.quotas().waitMs(account, amount);
        long waitMs = Math.min(ownMs, lentInMs.orElse(ownMs));
        services.decisions().logQuotaRefusal(head, account, amount, waitMs);
        long retryMs = Math.min(MAX_QUOTA_RETRY_MS, Math.max(MIN_QUOTA_RETRY_MS, waitMs));
        refuse(
                exchange,
                head,
                new Refusal(
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
        long nowMs = services.timeSource().monotonicMs();
        long timeoutMs = Math.min(route.timeoutMs(), head.timeoutMs().orElse(route.timeoutMs()));
        AdmittedRequest request =
                new AdmittedRequest(
                        head, view, route, service, account, amount, nowMs, nowMs + timeoutMs);
        services.metrics().begin(service.id());
        new ForwardedCall(services, exchange, request).start();
    }

    private Optional<TrafficService> chooseService(TrafficRoute route) {
        double position = random.nextDouble() * route.totalWeight();
        for (WeightedService share : route.services()) {
            position -= share.weight();
            if (position < 0) {
                return view.routes().flatMap(routes -> routes.findService(share.service()));
            }
        }
        return Optional.empty();
    }

    private static double countQuota(TrafficAccount account, RequestHead head) {
        return account.countsTokens() ? head.tokens().orElse(account.defaultTokens()) : 1;
    }

    /** A route may be missing only because the view is old; then the request may be sent again. */
    private Refusal staleSafe(Refusal refusal) {
        return services.lease().isHeld()
                ? refusal
                : noView("this gateway is out of touch with the control nodes");
    }

    private static Refusal noView(String detail) {
        return Refusal.unavailable("no-view", detail, NO_VIEW_RETRY_MS);
    }

    private void refuse(HttpExchange exchange, RequestHead head, Refusal refusal) {
        services.metrics().refuse(refusal.type());
        services.decisions().logRefusal(head, refusal.type(), refusal.status(), view.revision());
        exchange.respond(Refusals.toReply(services.dialect(), head, refusal));
    }
}
