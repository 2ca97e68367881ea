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
import org.cardamomthread.daemon.view.QuotaBorrower;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.generated.ViewRequest;

/** Assembles the forwarding of one gateway. Its methods run on the event loop. */
public final class Forwarder {

    private final QuotaLedger quotas;
    private final UsageCounter usage;
    private final VersionResults results = new VersionResults();
    private final ServiceLoads loads;
    private final ForwardingApi api;

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
    public record Environment(
            PlatformDialect dialect,
            EndpointClient client,
            EventLoop loop,
            TimeSource timeSource,
            ViewLease lease,
            QuotaBorrower borrower,
            ForwardingLimits limits,
            DecisionLog log,
            ForwardingMetrics metrics,
            RandomGenerator random) {}

    /**
     * Assembles the forwarding.
     *
     * @param environment what it works with
     */
    public Forwarder(Environment environment) {
        TimeSource timeSource = environment.timeSource();
        ForwardingLog decisions = new ForwardingLog(environment.log(), environment.lease());
        EndpointTable table = new EndpointTable(decisions);
        loads = new ServiceLoads(timeSource);
        quotas = new QuotaLedger(timeSource, environment.limits().quotas());
        usage = new UsageCounter(timeSource, environment.limits().usageWindowS());
        ForwardingServices services =
                new ForwardingServices(
                        environment.dialect(),
                        environment.client(),
                        environment.loop(),
                        timeSource,
                        environment.lease(),
                        table,
                        new EndpointChooser(table, timeSource, environment.random()),
                        quotas,
                        environment.borrower(),
                        new RepeatBudget(timeSource, environment.limits()),
                        usage,
                        results,
                        loads,
                        decisions,
                        environment.metrics());
        api = new ForwardingApi(services, table, environment.random());
    }

    /**
     * Returns the handler of callers' requests.
     *
     * @return the handler
     */
    public HttpHandler getApi() {
        return api;
    }

    /**
     * Puts a new view in force.
     *
     * @param view the view
     */
    public void follow(GatewayView view) {
        api.follow(view);
    }

    /**
     * Adds demands, counts and results to a report to the leader.
     *
     * @param request the report
     */
    public void report(ViewRequest.Builder request) {
        quotas.report((account, ratePerS) -> request.putDemands(account.value(), ratePerS));
        request.addAllWindows(usage.report());
        request.addAllVersions(results.report());
        request.addAllLoads(loads.report());
    }
}
