package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.telemetry.ForwardingMetrics;
import org.cardamomthread.daemon.view.GatewayView;
import org.cardamomthread.daemon.view.QuotaPoolClient;
import org.cardamomthread.daemon.view.TrialClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.daemon.view.generated.LeavingEndpoint;
import org.cardamomthread.daemon.view.generated.ViewRequest;
import org.cardamomthread.policy.admission.RouteDurations;
import org.cardamomthread.policy.admission.ShutdownAdmission;
import org.cardamomthread.policy.placement.DataCentreMargin;

/**
 * Creates and connects the components that forward requests on one gateway. Its methods must be
 * called on the event loop.
 */
public final class Forwarder {

    /** Endpoints in one report; the others follow once the leader has marked these. */
    private static final int MAX_REPORTED_LEAVING = 256;

    private final EndpointTable endpoints;
    private final LocalQuotaShares quotaShares;
    private final UsageCounter usage;
    private final VersionResultCounter versionResults;
    private final ServiceLoadTracker serviceLoads;
    private final PromptPartGuard promptPartGuard;
    private final OpenCalls openCalls = new OpenCalls();
    private final ShutdownAdmission shutdownAdmission;
    private final WaitingRooms waitingRooms;
    private final ForwardingHandler handler;

    /**
     * Groups the collaborators of the forwarding components. Immutable.
     *
     * @param dialect converts between platform messages and internal types
     * @param client sends requests to endpoints
     * @param loop the event loop on which all components run
     * @param afterPendingReads runs a task on the loop once what had arrived on the clients'
     *     connections has been read
     * @param timeSource supplies monotonic and wall clock time
     * @param dataCentre the data centre of this gateway
     * @param dataCentreMargin determines when endpoints of another data centre are preferred
     * @param viewLease determines whether the view is recent enough to admit requests that carry an
     *     API key
     * @param quotaPoolClient requests quota from the leader's pool when the gateway's own share is
     *     low
     * @param trialClient asks the leader whether a request with quarantined prompt parts may be
     *     sent
     * @param limits the limits that the platform sets for forwarding
     * @param decisionLog receives one structured entry for each decision
     * @param metrics receives request and attempt counts
     * @param random drives the weighted and randomized selections
     */
    public record Dependencies(
            PlatformDialect dialect,
            EndpointClient client,
            EventLoop loop,
            Executor afterPendingReads,
            TimeSource timeSource,
            DataCentreId dataCentre,
            DataCentreMargin dataCentreMargin,
            ViewLease viewLease,
            QuotaPoolClient quotaPoolClient,
            TrialClient trialClient,
            ForwardingLimits limits,
            DecisionLog decisionLog,
            ForwardingMetrics metrics,
            RandomGenerator random) {}

    /**
     * Creates the forwarding components.
     *
     * @param dependencies the collaborators
     */
    public Forwarder(Dependencies dependencies) {
        TimeSource timeSource = dependencies.timeSource();
        ForwardingLog forwardingLog =
                new ForwardingLog(dependencies.decisionLog(), dependencies.viewLease());
        endpoints = new EndpointTable(forwardingLog);
        serviceLoads = new ServiceLoadTracker(timeSource);
        quotaShares = new LocalQuotaShares(timeSource, dependencies.limits().quotaAllocation());
        versionResults = new VersionResultCounter(timeSource);
        promptPartGuard =
                new PromptPartGuard(dependencies.trialClient(), timeSource, forwardingLog);
        usage = new UsageCounter(timeSource, dependencies.limits().usageWindowS());
        RouteDurations routeDurations = new RouteDurations();
        shutdownAdmission = new ShutdownAdmission(routeDurations);
        ForwardingEndpointSelector endpointSelector =
                new ForwardingEndpointSelector(
                        endpoints,
                        new VersionSelector(
                                dependencies.limits().canaryAllocation(), dependencies.random()),
                        timeSource,
                        dependencies.random(),
                        dependencies.dataCentre(),
                        dependencies.dataCentreMargin(),
                        forwardingLog,
                        dependencies.metrics());
        waitingRooms = new WaitingRooms(dependencies, endpoints, endpointSelector, forwardingLog);
        ForwardingContext context =
                new ForwardingContext(
                        dependencies.dialect(),
                        dependencies.client(),
                        dependencies.loop(),
                        timeSource,
                        dependencies.viewLease(),
                        endpoints,
                        endpointSelector,
                        quotaShares,
                        dependencies.quotaPoolClient(),
                        new ServiceRetryBudget(timeSource, dependencies.limits()),
                        promptPartGuard,
                        usage,
                        versionResults,
                        serviceLoads,
                        openCalls,
                        waitingRooms,
                        new HeldBytesBudget(),
                        routeDurations,
                        forwardingLog,
                        dependencies.metrics());
        handler =
                new ForwardingHandler(
                        context,
                        endpoints,
                        shutdownAdmission,
                        dependencies.afterPendingReads(),
                        dependencies.random());
    }

    /**
     * Returns the HTTP handler that serves client requests.
     *
     * @return the handler, to be called on the event loop
     */
    public HttpHandler getHandler() {
        return handler;
    }

    /**
     * Replaces the view by which requests are routed and admitted.
     *
     * @param view the new view
     */
    public void applyView(GatewayView view) {
        handler.applyView(view);
    }

    /**
     * Begins the stop of the gateway, or brings its end forward: requests that are not likely to
     * end before, and those that wait for an endpoint, are rejected as not run.
     *
     * @param endMs when the open requests are ended, in monotonic milliseconds
     */
    public void stopAt(long endMs) {
        shutdownAdmission.stopAt(endMs);
        waitingRooms.stop();
    }

    /** Ends the open requests with a response that tells whether they may have run. */
    public void endOpenRequests() {
        openCalls.endAll();
    }

    /**
     * Adds quota demands, usage counts, results by version, service loads, evidence on prompt parts
     * and leaving endpoints to a report for the leader.
     *
     * @param request the report to extend
     */
    public void addReport(ViewRequest.Builder request) {
        quotaShares.forEachDemand(
                (account, ratePerS) -> request.putDemands(account.value(), ratePerS));
        request.addAllWindows(usage.snapshot());
        request.addAllVersions(versionResults.snapshot());
        request.addAllLoads(serviceLoads.snapshot());
        promptPartGuard.addReport(request);
        endpoints.listUnreportedLeaving().stream()
                .limit(MAX_REPORTED_LEAVING)
                .forEach(
                        leaving ->
                                request.addLeaving(
                                        LeavingEndpoint.newBuilder()
                                                .setId(leaving.endpoint().value())
                                                .setBornMs(leaving.number())));
    }
}
