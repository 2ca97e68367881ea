package org.cardamomthread.daemon.forwarding;

import io.netty.channel.EventLoop;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.dialect.PlatformDialect;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.telemetry.ForwardingMetrics;
import org.cardamomthread.daemon.view.QuotaPoolClient;
import org.cardamomthread.daemon.view.ViewLease;

/**
 * Groups what forwarded calls work with. Immutable.
 *
 * @param dialect translates between the platform's messages and the system's
 * @param client runs attempts on endpoints
 * @param loop the event loop that runs everything here
 * @param timeSource the clock
 * @param lease tells whether requests with a key may be admitted
 * @param table what is known of the endpoints
 * @param chooser chooses endpoints
 * @param quotas this gateway's shares of quotas
 * @param borrower borrows quota beyond the own shares
 * @param repeats bounds further sends
 * @param usage counts requests that began to run
 * @param results counts answers by version
 * @param loads measures what is sent to each service
 * @param decisions writes a line for each decision
 * @param metrics counts requests
 */
record ForwardingContext(
        PlatformDialect dialect,
        EndpointClient client,
        EventLoop loop,
        TimeSource timeSource,
        ViewLease viewLease,
        EndpointTable endpoints,
        EndpointSelector endpointSelector,
        LocalQuotaShares quotaShares,
        QuotaPoolClient quotaPoolClient,
        RetryBudget retryBudget,
        UsageCounter usageCounter,
        VersionResultCounter versionResults,
        ServiceLoadTracker serviceLoads,
        ForwardingLog forwardingLog,
        ForwardingMetrics metrics) {}
