package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.telemetry.ForwardingMetrics;
import org.cardamomthread.daemon.view.QuotaPoolClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.policy.admission.RouteDurations;

/**
 * Groups the components that forwarded calls share. Immutable.
 *
 * @param dialect converts between platform messages and internal types
 * @param client sends requests to endpoints
 * @param loop the event loop on which all components run
 * @param timeSource supplies monotonic and wall clock time
 * @param viewLease determines whether the view is recent enough to admit requests that carry an API
 *     key
 * @param endpoints the local state of the endpoints
 * @param endpointSelector selects the endpoint of each attempt
 * @param quotaShares this gateway's shares of the quotas
 * @param quotaPoolClient requests quota from the leader's pool
 * @param retryBudget limits retries
 * @param promptPartGuard keeps requests with quarantined prompt parts from endpoints
 * @param usageCounter counts requests that started to run
 * @param versionResults counts responses by version
 * @param serviceLoads measures the load sent to each service
 * @param openCalls the calls that have not ended
 * @param waitingRooms hold the requests that wait for an endpoint
 * @param heldBytesBudget limits the bytes that responses hold back
 * @param routeDurations tracks how long the requests of each route take
 * @param forwardingLog writes an entry for each decision
 * @param metrics receives request and attempt counts
 */
record ForwardingContext(
        PlatformDialect dialect,
        EndpointClient client,
        EventLoop loop,
        TimeSource timeSource,
        ViewLease viewLease,
        EndpointTable endpoints,
        ForwardingEndpointSelector endpointSelector,
        LocalQuotaShares quotaShares,
        QuotaPoolClient quotaPoolClient,
        ServiceRetryBudget retryBudget,
        PromptPartGuard promptPartGuard,
        UsageCounter usageCounter,
        VersionResultCounter versionResults,
        ServiceLoadTracker serviceLoads,
        OpenCalls openCalls,
        WaitingRooms waitingRooms,
        HeldBytesBudget heldBytesBudget,
        RouteDurations routeDurations,
        ForwardingLog forwardingLog,
        ForwardingMetrics metrics) {}
