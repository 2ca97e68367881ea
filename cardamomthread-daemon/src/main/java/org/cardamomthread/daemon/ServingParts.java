package org.cardamomthread.daemon;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.configuration.ConfigurationDistribution;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.configuration.ConfigurationProposer;
import org.cardamomthread.daemon.configuration.DrainSync;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.execution.JobClient;
import org.cardamomthread.daemon.execution.JobDispatcher;
import org.cardamomthread.daemon.execution.JobRunner;
import org.cardamomthread.daemon.gateway.AttemptObservers;
import org.cardamomthread.daemon.gateway.CallTelemetry;
import org.cardamomthread.daemon.gateway.Gateway;
import org.cardamomthread.daemon.gateway.PriceBook;
import org.cardamomthread.daemon.rollout.MoveObserver;
import org.cardamomthread.daemon.rollout.MoveVersionRouter;
import org.cardamomthread.daemon.rollout.RolloutService;
import org.cardamomthread.policy.routing.ScoringEndpointSelector;
import org.cardamomthread.transport.PeerTransport;

/** Assembles what follows the configuration: its spreading, version moves and the gateway. */
final class ServingParts {

    private final ConfigurationDistribution distribution;
    private final RolloutService rollout;
    private final DrainSync drains;
    private final Gateway gateway;
    private final JobRunner jobRunner;
    private final JobDispatcher jobDispatcher;

    /**
     * Groups what the parts work with. Immutable.
     *
     * @param settings the node's settings
     * @param incarnation the node's incarnation, which seeds random choices
     * @param transport the links to other nodes
     * @param control runs the decisions
     * @param membership nodes and credits
     * @param configuration the configuration in force
     * @param proposer proposes changes of the configuration
     * @param proposals reaches the replicated logs
     * @param leadsExecution tells whether this node leads the group of claims and jobs
     * @param client runs attempts on endpoints
     * @param prices knows what endpoints cost
     * @param telemetry what each call reports to
     */
    record Environment(
            NodeSettings settings,
            long incarnation,
            PeerTransport transport,
            ControlThread control,
            MembershipParts membership,
            ConfigurationHolder configuration,
            ConfigurationProposer proposer,
            ProposalClient proposals,
            BooleanSupplier leadsExecution,
            EndpointClient client,
            PriceBook prices,
            CallTelemetry telemetry) {}

    ServingParts(Environment environment) {
        distribution =
                new ConfigurationDistribution(
                        environment.configuration(),
                        environment.membership().getDirectory(),
                        environment.transport(),
                        environment.control(),
                        new Random(environment.incarnation()));
        rollout =
                new RolloutService(
                        environment.membership().getDirectory(),
                        environment.configuration(),
                        environment.proposer(),
                        environment.transport(),
                        environment.control(),
                        environment.telemetry().timeSource());
        drains =
                new DrainSync(
                        environment.configuration(),
                        environment.membership().getDirectory(),
                        environment.proposer(),
                        environment.control());
        gateway = createGateway(environment);
        JobClient jobs = new JobClient(environment.proposals());
        jobRunner =
                new JobRunner(
                        jobs,
                        gateway.getJobExecutor(),
                        environment.transport(),
                        environment.control(),
                        environment.telemetry().timeSource());
        jobDispatcher =
                new JobDispatcher(
                        jobs,
                        environment.leadsExecution(),
                        () -> environment.membership().listLiveNodes(),
                        environment.transport(),
                        environment.control(),
                        environment.telemetry().timeSource());
    }

    Gateway getGateway() {
        return gateway;
    }

    void start() {
        distribution.start();
        rollout.start();
        drains.start();
        jobRunner.start();
        jobDispatcher.start();
    }

    private Gateway createGateway(Environment environment) {
        TimeSource timeSource = environment.telemetry().timeSource();
        return new Gateway(
                new Gateway.GatewayParts(
                        environment.settings().nodeId(),
                        environment.incarnation(),
                        environment.settings().dataCentre(),
                        environment.configuration()::getDeclarations,
                        environment.membership().getPool(),
                        new ScoringEndpointSelector(environment.membership().getPrefixes()),
                        environment.prices(),
                        environment.client(),
                        environment.proposals(),
                        new MoveVersionRouter(environment.configuration(), rollout),
                        environment.membership().getPrefixes(),
                        environment.telemetry().choices(),
                        new AttemptObservers(
                                List.of(
                                        new MoveObserver(rollout, timeSource),
                                        environment.membership().getObservations())),
                        environment.telemetry(),
                        new Random(environment.incarnation())));
    }
}
