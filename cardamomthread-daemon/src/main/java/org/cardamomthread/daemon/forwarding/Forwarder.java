package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.telemetry.ForwardingMetrics;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.QuotaPoolClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.generated.ViewRequest;

/** Assembles the forwarding of one gateway. Its methods run on the event loop. */
public final class Forwarder {

    private final LocalQuotaShares quotaShares;
    private final UsageCounter usage;
    private final VersionResultCounter versionResults = new VersionResultCounter();
    private final ServiceLoadTracker serviceLoads;
    private final ForwardingHandler handler;

    /**
     * Groups what the forwarding works with. Immutable.
     *
     * @param dialect translates between the platform's messages and the system's
     * @param client runs attempts on endpoints
     * @param loop the event loop that runs everything here
     * @param timeSource the clock
     * @param lease tells whether requests with a key may be admitted
     * @param borrower borrows quota beyond the own shares
     * @param limits the platform's limits
     * @param log writes decisions
     * @param metrics counts requests
     * @param random spreads requests
     */
    public record Dependencies(
            PlatformDialect dialect,
            EndpointClient client,
            EventLoop loop,
            TimeSource timeSource,
            ViewLease viewLease,
            QuotaPoolClient quotaPoolClient,
            ForwardingLimits limits,
            DecisionLog decisionLog,
            ForwardingMetrics metrics,
            RandomGenerator random) {}

    /**
     * Assembles the forwarding.
     *
     * @param environment what it works with
     */
    public Forwarder(Dependencies environment) {
        TimeSource timeSource = environment.timeSource();
        ForwardingLog decisions =
                new ForwardingLog(environment.decisionLog(), environment.viewLease());
        EndpointTable table = new EndpointTable(decisions);
        serviceLoads = new ServiceLoadTracker(timeSource);
        quotaShares = new LocalQuotaShares(timeSource, environment.limits().quotaAllocation());
        usage = new UsageCounter(timeSource, environment.limits().usageWindowS());
        ForwardingContext services =
                new ForwardingContext(
                        environment.dialect(),
                        environment.client(),
                        environment.loop(),
                        timeSource,
                        environment.viewLease(),
                        table,
                        new EndpointSelector(table, timeSource, environment.random()),
                        quotaShares,
                        environment.quotaPoolClient(),
                        new RetryBudget(timeSource, environment.limits()),
                        usage,
                        versionResults,
                        serviceLoads,
                        decisions,
                        environment.metrics());
        handler = new ForwardingHandler(services, table, environment.random());
    }

    /**
     * Returns the handler of callers' requests.
     *
     * @return the handler
     */
    public HttpHandler getHandler() {
        return handler;
    }

    /**
     * Puts a new view in force.
     *
     * @param view the view
     */
    public void applyView(GatewayView view) {
        handler.applyView(view);
    }

    /**
     * Adds demands, counts and results to a report to the leader.
     *
     * @param request the report
     */
    public void addReport(ViewRequest.Builder request) {
        quotaShares.forEachDemand(
                (account, ratePerS) -> request.putDemands(account.value(), ratePerS));
        request.addAllWindows(usage.snapshot());
        request.addAllVersions(versionResults.snapshot());
        request.addAllLoads(serviceLoads.snapshot());
    }
}
