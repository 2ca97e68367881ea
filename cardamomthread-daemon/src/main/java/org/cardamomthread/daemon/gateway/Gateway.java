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
     * @param dependencies the components that the gateway uses
     */
    public Gateway(GatewayDependencies dependencies) {
        EndpointAvailabilityTracker availability =
                new EndpointAvailabilityTracker(dependencies.telemetry().timeSource());
        placement = createPlacement(dependencies, availability);
        CallDependencies callDependencies =
                new CallDependencies(
                        placement,
                        new AttemptDispatcher(
                                dependencies.client(),
                                availability,
                                dependencies.telemetry().tracing()),
                        new BudgetRetryPolicy(dependencies.telemetry().timeSource()),
                        dependencies.promptGuard(),
                        dependencies.telemetry().timeSource());
        ReplicatedAtMostOnceCallStarter atMostOnceStarter =
                new ReplicatedAtMostOnceCallStarter(
                        dependencies.node(),
                        dependencies.incarnation(),
                        callDependencies,
                        new ReplicatedClaimClient(dependencies.proposals()));
        CallStarter starter = new DefaultCallStarter(callDependencies, atMostOnceStarter);
        callerApi =
                new CallerApi(
                        dependencies.declarationsProvider(),
                        starter,
                        new ReplicatedJobApi(
                                new JobClient(dependencies.proposals()),
                                dependencies.telemetry().timeSource()),
                        dependencies.telemetry());
        jobExecutor =
                new GatewayJobExecutor(
                        dependencies.declarationsProvider(), starter, dependencies.telemetry());
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
     * @param pricing provides the prices of endpoints
     * @param client sends attempts to endpoints
     * @param proposals proposes commands to the replicated log of claims and jobs
     * @param versionRouter selects the version for each attempt
     * @param prefixIndex tracks which prompt prefixes endpoints have cached
     * @param placementHistory records placement decisions
     * @param attemptObserver is notified of the result of each attempt
     * @param promptGuard keeps requests from endpoints that their prompts may crash
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
            VersionRouter versionRouter,
            PrefixIndex prefixIndex,
            PlacementHistory placementHistory,
            AttemptObserver attemptObserver,
            PromptGuard promptGuard,
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

    private static CreditBasedPlacement createPlacement(
            GatewayDependencies dependencies, EndpointAvailabilityTracker availability) {
        return new CreditBasedPlacement(
                dependencies.pool(),
                new CandidateProvider(
                        dependencies.pool(),
                        availability,
                        dependencies.pricing(),
                        dependencies.dataCentre()),
                dependencies.selector(),
                new SelectionRequestFactory(),
                dependencies.versionRouter(),
                dependencies.prefixIndex(),
                dependencies.placementHistory(),
                dependencies.attemptObserver(),
                dependencies.random(),
                dependencies.telemetry().timeSource(),
                account -> getWeight(dependencies.declarationsProvider(), account));
    }

    private static double getWeight(
            DeclarationsProvider declarationsProvider, ClientAccountId account) {
        ClientAccount declared =
                declarationsProvider.getDeclarations().clientAccounts().get(account);
        return declared == null ? 1.0 : declared.weight();
    }
}
