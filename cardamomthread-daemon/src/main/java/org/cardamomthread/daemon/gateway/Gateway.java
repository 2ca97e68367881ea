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
 * Assembles a node's duty towards callers.
 *
 * <p>Safe for use by several threads.
 */
public final class Gateway {

    private final CreditPlacement placement;
    private final CallerApi callerApi;
    private final JobRunner.JobExecutor jobExecutor;

    /**
     * Assembles a gateway.
     *
     * @param parts what it works with
     */
    public Gateway(GatewayParts parts) {
        placement = createPlacement(parts);
        CallServices services =
                new CallServices(
                        placement,
                        new AttemptRunner(parts.client(), parts.telemetry().tracing()),
                        new BudgetRetryPolicy(parts.telemetry().timeSource()),
                        parts.telemetry().timeSource());
        OnceOnlyGateway onceOnly =
                new OnceOnlyGateway(
                        parts.node(),
                        parts.incarnation(),
                        services,
                        new ReplicatedClaimClient(parts.proposals()));
        CallStarter starter = new DefaultCallStarter(services, onceOnly);
        callerApi =
                new CallerApi(
                        parts.configuration(),
                        starter,
                        new ReplicatedJobApi(
                                new JobClient(parts.proposals()), parts.telemetry().timeSource()),
                        parts.telemetry());
        jobExecutor = new GatewayJobExecutor(parts.configuration(), starter, parts.telemetry());
    }

    /**
     * Groups what a gateway works with. Immutable.
     *
     * @param node this node
     * @param incarnation the node's incarnation
     * @param dataCentre the node's data centre
     * @param configuration gives the declarations in force
     * @param pool the node's credits
     * @param selector chooses endpoints
     * @param prices knows what endpoints cost
     * @param client runs attempts
     * @param proposals reaches the replicated log of claims
     * @param versions divides calls between versions
     * @param prefixes what is known of prefix caches
     * @param choices hears of choices
     * @param attempts hears how attempts went
     * @param telemetry what each call reports to
     * @param random source for choices among near equals
     */
    public record GatewayParts(
            NodeId node,
            long incarnation,
            DataCentreId dataCentre,
            ConfigurationSource configuration,
            CreditPool pool,
            EndpointSelector selector,
            PriceBook prices,
            EndpointClient client,
            ProposalClient proposals,
            VersionRouter versions,
            PrefixIndex prefixes,
            ChoiceLog choices,
            AttemptObserver attempts,
            CallTelemetry telemetry,
            RandomGenerator random) {}

    /**
     * Returns what answers callers.
     *
     * @return the handler of the callers' listener
     */
    public HttpHandler getCallerApi() {
        return callerApi;
    }

    /**
     * Returns what runs the calls of jobs on this node.
     *
     * @return the executor
     */
    public JobRunner.JobExecutor getJobExecutor() {
        return jobExecutor;
    }

    /** Gives credits that have come to the calls that wait for them. */
    public void useCredits() {
        placement.pump();
    }

    /**
     * Returns the number of attempts that wait for a credit.
     *
     * @return attempts
     */
    public int getWaitingCount() {
        return placement.getWaitingCount();
    }

    private static CreditPlacement createPlacement(GatewayParts parts) {
        return new CreditPlacement(
                parts.pool(),
                new CandidateReader(parts.pool(), parts.prices(), parts.dataCentre()),
                parts.selector(),
                new SelectionRequestFactory(),
                parts.versions(),
                parts.prefixes(),
                parts.choices(),
                parts.attempts(),
                parts.random(),
                parts.telemetry().timeSource(),
                account -> weightOf(parts.configuration(), account));
    }

    private static double weightOf(ConfigurationSource configuration, ClientAccountId account) {
        ClientAccount declared = configuration.getDeclarations().clientAccounts().get(account);
        return declared == null ? 1.0 : declared.weight();
    }
}
