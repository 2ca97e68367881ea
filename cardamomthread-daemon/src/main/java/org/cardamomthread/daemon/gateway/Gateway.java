package org.cardamomthread.daemon.gateway;

import java.util.random.RandomGenerator;
import org.cardamomthread.configuration.declaration.ClientAccount;
import org.cardamomthread.core.id.ClientAccountId;
import org.cardamomthread.core.id.DataCentreId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.execution.JobClient;
import org.cardamomthread.daemon.execution.JobRunner;
import org.cardamomthread.daemon.http.HttpHandler;
import org.cardamomthread.membership.gateway.CreditPool;
import org.cardamomthread.policy.routing.EndpointSelector;
import org.cardamomthread.policy.routing.PrefixIndex;

/**
 * Assembles the components that serve callers on this node.
 *
 * <p>Thread-safe.
 */
public final class Gateway {

    private final CreditBasedPlacement placement;
    private final CallerApi callerApi;
    private final JobRunner.JobCallExecutor jobExecutor;

    /**
     * Creates a gateway.
     *
     * @param parts the components that the gateway uses
     */
    public Gateway(GatewayDependencies parts) {
        placement = createPlacement(parts);
        CallDependencies dependencies =
                new CallDependencies(
                        placement,
                        new AttemptDispatcher(parts.client(), parts.telemetry().tracing()),
                        new BudgetRetryPolicy(parts.telemetry().timeSource()),
                        parts.telemetry().timeSource());
        ReplicatedAtMostOnceCallStarter atMostOnceStarter =
                new ReplicatedAtMostOnceCallStarter(
                        parts.node(),
                        parts.incarnation(),
                        dependencies,
                        new ReplicatedClaimClient(parts.proposals()));
        CallStarter starter = new DefaultCallStarter(dependencies, atMostOnceStarter);
        callerApi =
                new CallerApi(
                        parts.declarationsProvider(),
                        starter,
                        new ReplicatedJobApi(
                                new JobClient(parts.proposals()), parts.telemetry().timeSource()),
                        parts.telemetry());
        jobExecutor =
                new GatewayJobExecutor(parts.declarationsProvider(), starter, parts.telemetry());
    }

    /**
     * Groups the components that a gateway uses. Immutable.
     *
     * @param node this node
     * @param incarnation the node's incarnation, which changes with each start of the node
     * @param dataCentre the node's data centre
     * @param declarationsProvider provides the current declarations
     * @param pool the credits that this node holds
     * @param selector selects an endpoint from the candidates
     * @param prices provides the prices of endpoints
     * @param client sends attempts to endpoints
     * @param proposals proposes commands to the replicated log of claims and jobs
     * @param versions selects the version for each attempt
     * @param prefixes tracks which prompt prefixes endpoints have cached
     * @param choices records placement decisions
     * @param attempts is notified of the result of each attempt
     * @param telemetry the components that each call reports to
     * @param random breaks ties between similar candidates and divides traffic between versions
     */
    public record GatewayDependencies(
            NodeId node,
            long incarnation,
            DataCentreId dataCentre,
            DeclarationsProvider declarationsProvider,
            CreditPool pool,
            EndpointSelector selector,
            EndpointPricing pricing,
            EndpointClient client,
            ProposalClient proposals,
            VersionRouter versions,
            PrefixIndex prefixes,
            PlacementHistory placementHistory,
            AttemptObserver attempts,
            CallTelemetry telemetry,
            RandomGenerator random) {}

    /**
     * Returns the handler of callers' requests.
     *
     * @return the handler for the callers' listener
     */
    public HttpHandler getCallerApi() {
        return callerApi;
    }

    /**
     * Returns the executor that runs the calls of jobs on this node.
     *
     * @return the executor
     */
    public JobRunner.JobCallExecutor getJobExecutor() {
        return jobExecutor;
    }

    /**
     * Places queued attempts for which a credit has arrived and refuses those that waited too long.
     */
    public void processQueues() {
        placement.processQueues();
    }

    /**
     * Returns the number of attempts that wait for a credit.
     *
     * @return the number of queued attempts of all services
     */
    public int getWaitingCount() {
        return placement.getWaitingCount();
    }

    private static CreditBasedPlacement createPlacement(GatewayDependencies parts) {
        return new CreditBasedPlacement(
                parts.pool(),
                new CandidateProvider(parts.pool(), parts.pricing(), parts.dataCentre()),
                parts.selector(),
                new SelectionRequestFactory(),
                parts.versions(),
                parts.prefixes(),
                parts.placementHistory(),
                parts.attempts(),
                parts.random(),
                parts.telemetry().timeSource(),
                account -> getWeight(parts.declarationsProvider(), account));
    }

    private static double getWeight(
            DeclarationsProvider declarationsProvider, ClientAccountId account) {
        ClientAccount declared =
                declarationsProvider.getDeclarations().clientAccounts().get(account);
        return declared == null ? 1.0 : declared.weight();
    }
}
