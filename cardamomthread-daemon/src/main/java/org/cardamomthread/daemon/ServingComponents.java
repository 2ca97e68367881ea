package org.cardamomthread.daemon;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.configuration.ConfigurationHolder;
import org.cardamomthread.daemon.configuration.ConfigurationProposer;
import org.cardamomthread.daemon.configuration.ConfigurationSynchronizer;
import org.cardamomthread.daemon.configuration.DrainStateSynchronizer;
import org.cardamomthread.daemon.control.ProposalClient;
import org.cardamomthread.daemon.dispatch.EndpointClient;
import org.cardamomthread.daemon.execution.JobClient;
import org.cardamomthread.daemon.execution.JobDispatcher;
import org.cardamomthread.daemon.execution.JobRunner;
import org.cardamomthread.daemon.gateway.AttemptObservers;
import org.cardamomthread.daemon.gateway.CallTelemetry;
import org.cardamomthread.daemon.gateway.Gateway;
import org.cardamomthread.daemon.gateway.PriceBook;
import org.cardamomthread.daemon.rollout.RolloutService;
import org.cardamomthread.daemon.rollout.VersionMoveObserver;
import org.cardamomthread.daemon.rollout.VersionMoveRouter;
import org.cardamomthread.policy.routing.ScoringEndpointSelector;
import org.cardamomthread.transport.PeerTransport;

/** Assembles what follows the configuration: its spreading, version moves and the gateway. */
final class ServingComponents {

    private final ConfigurationSynchronizer configurationSynchronizer;
    private final RolloutService rollout;
    private final DrainStateSynchronizer drainStateSynchronizer;
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
    record Dependencies(
            NodeSettings settings,
            long incarnation,
            PeerTransport transport,
            ControlThread controlThread,
            MembershipComponents membership,
            ConfigurationHolder configuration,
            ConfigurationProposer configurationProposer,
            ProposalClient proposalClient,
            BooleanSupplier isExecutionLeader,
            EndpointClient endpointClient,
            PriceBook prices,
            CallTelemetry telemetry) {}

    ServingComponents(Dependencies environment) {
        configurationSynchronizer =
                new ConfigurationSynchronizer(
                        environment.configuration(),
                        environment.membership().getDirectory(),
                        environment.transport(),
                        environment.controlThread(),
                        new Random(environment.incarnation()));
        rollout =
                new RolloutService(
                        environment.membership().getDirectory(),
                        environment.configuration(),
                        environment.configurationProposer(),
                        environment.transport(),
                        environment.controlThread(),
                        environment.telemetry().timeSource());
        drainStateSynchronizer =
                new DrainStateSynchronizer(
                        environment.configuration(),
                        environment.membership().getDirectory(),
                        environment.configurationProposer(),
                        environment.controlThread());
        gateway = createGateway(environment);
        JobClient jobs = new JobClient(environment.proposalClient());
        jobRunner =
                new JobRunner(
                        jobs,
                        gateway.getJobExecutor(),
                        environment.transport(),
                        environment.controlThread(),
                        environment.telemetry().timeSource());
        jobDispatcher =
                new JobDispatcher(
                        jobs,
                        environment.isExecutionLeader(),
                        () -> environment.membership().listLiveNodes(),
                        environment.transport(),
                        environment.controlThread(),
                        environment.telemetry().timeSource());
    }

    Gateway getGateway() {
        return gateway;
    }

    void start() {
        configurationSynchronizer.start();
        rollout.start();
        drainStateSynchronizer.start();
        jobRunner.start();
        jobDispatcher.start();
    }

    private Gateway createGateway(Dependencies environment) {
        TimeSource timeSource = environment.telemetry().timeSource();
        return new Gateway(
                new Gateway.GatewayParts(
                        environment.settings().nodeId(),
                        environment.incarnation(),
                        environment.settings().dataCentre(),
                        environment.configuration()::getDeclarations,
                        environment.membership().getCreditPool(),
                        new ScoringEndpointSelector(environment.membership().getPrefixIndex()),
                        environment.prices(),
                        environment.endpointClient(),
                        environment.proposalClient(),
                        new VersionMoveRouter(environment.configuration(), rollout),
                        environment.membership().getPrefixIndex(),
                        environment.telemetry().choices(),
                        new AttemptObservers(
                                List.of(
                                        new VersionMoveObserver(rollout, timeSource),
                                        environment.membership().getObservationPublisher())),
                        environment.telemetry(),
                        new Random(environment.incarnation())));
    }
}
