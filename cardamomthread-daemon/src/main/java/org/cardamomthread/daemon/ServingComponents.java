package org.cardamomthread.daemon;

import java.util.List;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.cardamomthread.configuration.settings.NodeSettings;
import org.cardamomthread.core.hash.RandomSeeds;
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
import org.cardamomthread.daemon.gateway.CallTelemetry;
import org.cardamomthread.daemon.gateway.CompositeAttemptObserver;
import org.cardamomthread.daemon.gateway.EndpointPricing;
import org.cardamomthread.daemon.gateway.Gateway;
import org.cardamomthread.daemon.gateway.PromptGuard;
import org.cardamomthread.daemon.quarantine.Peer;
import org.cardamomthread.daemon.quarantine.SharedPromptGuard;
import org.cardamomthread.daemon.rollout.RolloutService;
import org.cardamomthread.daemon.rollout.VersionMoveObserver;
import org.cardamomthread.daemon.rollout.VersionMoveRouter;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.policy.routing.ScoringEndpointSelector;
import org.cardamomthread.transport.PeerTransport;

/**
 * Creates the components driven by the configuration: its synchronization, version moves, job
 * execution and the gateway.
 */
final class ServingComponents {

    private final ConfigurationSynchronizer configurationSynchronizer;
    private final RolloutService rollout;
    private final DrainStateSynchronizer drainStateSynchronizer;
    private final ControlThread controlThread;
    private final SharedPromptGuard promptGuard;
    private final Gateway gateway;
    private final JobRunner jobRunner;
    private final JobDispatcher jobDispatcher;

    /**
     * Holds what the components depend on. Immutable.
     *
     * @param settings the node's settings
     * @param incarnation the node's incarnation, part of the seed of random choices
     * @param transport the transport to other nodes
     * @param controlThread runs the control decisions
     * @param membership the nodes, endpoints and credits
     * @param configuration the active configuration
     * @param configurationProposer proposes configuration changes
     * @param proposalClient sends commands and queries to the replication groups
     * @param isExecutionLeader returns whether this node leads the group of claims and jobs
     * @param endpointClient sends requests to endpoints
     * @param pricing returns what endpoints cost
     * @param telemetry receives the metrics, traces and decisions of each call
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
            EndpointPricing pricing,
            CallTelemetry telemetry) {}

    ServingComponents(Dependencies dependencies) {
        configurationSynchronizer =
                new ConfigurationSynchronizer(
                        dependencies.configuration(),
                        dependencies.membership().getDirectory(),
                        dependencies.transport(),
                        dependencies.controlThread(),
                        createRandom(dependencies));
        rollout =
                new RolloutService(
                        dependencies.membership().getDirectory(),
                        dependencies.configuration(),
                        dependencies.configurationProposer(),
                        dependencies.transport(),
                        dependencies.controlThread(),
                        dependencies.telemetry().timeSource());
        drainStateSynchronizer =
                new DrainStateSynchronizer(
                        dependencies.configuration(),
                        dependencies.membership().getDirectory(),
                        dependencies.configurationProposer(),
                        dependencies.controlThread());
        controlThread = dependencies.controlThread();
        promptGuard = createPromptGuard(dependencies);
        gateway = createGateway(dependencies, promptGuard);
        JobClient jobs = new JobClient(dependencies.proposalClient());
        jobRunner =
                new JobRunner(
                        jobs,
                        gateway.getJobExecutor(),
                        dependencies.transport(),
                        dependencies.controlThread(),
                        dependencies.telemetry().timeSource());
        jobDispatcher =
                new JobDispatcher(
                        jobs,
                        dependencies.isExecutionLeader(),
                        () -> dependencies.membership().listLiveNodes(),
                        dependencies.transport(),
                        dependencies.controlThread(),
                        dependencies.telemetry().timeSource());
    }

    Gateway getGateway() {
        return gateway;
    }

    void start() {
        configurationSynchronizer.start();
        rollout.start();
        promptGuard.start(controlThread);
        drainStateSynchronizer.start();
        jobRunner.start();
        jobDispatcher.start();
    }

    private static Random createRandom(Dependencies dependencies) {
        return new Random(
                RandomSeeds.derive(
                        dependencies.settings().nodeId().value(), dependencies.incarnation()));
    }

    private static SharedPromptGuard createPromptGuard(Dependencies dependencies) {
        TimeSource timeSource = dependencies.telemetry().timeSource();
        SharedPromptGuard guard =
                new SharedPromptGuard(
                        new Peer(dependencies.settings().nodeId(), dependencies.incarnation()),
                        dependencies.membership()::listLivePeers,
                        dependencies.transport(),
                        dependencies.controlThread()::execute,
                        timeSource,
                        new DecisionLog(timeSource));
        dependencies
                .telemetry()
                .metrics()
                .registerGauge(
                        "cardamomthread_quarantined_prompt_blocks",
                        "Prompt blocks of which requests are tried one at a time",
                        guard::countQuarantined);
        return guard;
    }

    private Gateway createGateway(Dependencies dependencies, PromptGuard promptGuard) {
        TimeSource timeSource = dependencies.telemetry().timeSource();
        return new Gateway(
                new Gateway.GatewayDependencies(
                        dependencies.settings().nodeId(),
                        dependencies.incarnation(),
                        dependencies.settings().dataCentre(),
                        dependencies.configuration()::getDeclarations,
                        dependencies.membership().getCreditPool(),
                        new ScoringEndpointSelector(dependencies.membership().getPrefixIndex()),
                        dependencies.pricing(),
                        dependencies.endpointClient(),
                        dependencies.proposalClient(),
                        new VersionMoveRouter(dependencies.configuration(), rollout),
                        dependencies.membership().getPrefixIndex(),
                        dependencies.telemetry().placementHistory(),
                        new CompositeAttemptObserver(
                                List.of(
                                        new VersionMoveObserver(rollout, timeSource),
                                        dependencies.membership().getObservationPublisher())),
                        promptGuard,
                        dependencies.telemetry(),
                        createRandom(dependencies)));
    }
}
