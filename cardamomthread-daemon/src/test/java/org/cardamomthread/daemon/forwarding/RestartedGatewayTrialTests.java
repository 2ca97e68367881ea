package org.cardamomthread.daemon.forwarding;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.EndpointId;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.registry.EndpointRegistry;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.LossyPeerNetwork;
import org.cardamomthread.daemon.view.EndpointIncarnation;
import org.cardamomthread.daemon.view.QuarantineServer;
import org.cardamomthread.daemon.view.TrialClient;
import org.cardamomthread.daemon.view.ViewLease;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.TrialDecision;
import org.cardamomthread.policy.quarantine.TrialDecision.Kind;
import org.cardamomthread.transport.PeerTransport;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a gateway that starts anew does not take over the trials of its earlier run. */
public class RestartedGatewayTrialTests {

    private static final NodeId GATEWAY = new NodeId("gateway");
    private static final NodeId LEADER = new NodeId("leader");
    private static final RequestId REQUEST = new RequestId("r1");
    private static final EndpointIncarnation LOST =
            new EndpointIncarnation(new EndpointId("e1"), 1);
    private static final List<PromptPartKey> KEYS =
            List.of(PromptPartKey.of(new ServiceId("chat"), "deadly"));
    private static final long RESTART_MS = 200;

    /** Longer than a new leader grants no trials, and shorter than a local loss is asked about. */
    private static final long SETTLED_MS = 2_000;

    private ManualTimeSource timeSource;
    private LossyPeerNetwork network;
    private ControlThread controlThread;
    private PeerTransport gatewayTransport;

    @BeforeMethod
    public void start() {
        timeSource = new ManualTimeSource();
        network = new LossyPeerNetwork(timeSource, 1, 5, 0);
        controlThread = new ControlThread("trials");
        QuarantineServer server =
                new QuarantineServer(
                        new EndpointRegistry(timeSource),
                        () -> OptionalLong.of(1),
                        controlThread,
                        timeSource,
                        new DecisionLog(timeSource));
        network.createTransport(LEADER)
                .register(
                        QuarantineServer.TOPIC,
                        (from, payload) ->
                                CompletableFuture.completedFuture(
                                        server.handleTrial(from, payload)
                                                .toCompletableFuture()
                                                .join()));
        gatewayTransport = network.createTransport(GATEWAY);
    }

    @AfterMethod
    public void stop() {
        controlThread.close();
    }

    @DataProvider
    public Object[][] restarts() {
        return new Object[][] {{false, Kind.TRIAL}, {true, Kind.REJECTED}};
    }

    @Test(dataProvider = "restarts")
    public void allowsOnlyTheRunThatHoldsATrialToSendAgain(boolean isRestarted, Kind expected) {
        PromptPartGuard first = createGuard();
        first.recordLoss(KEYS, LOST, Optional.empty());
        String trial = first.createTrialId(REQUEST);
        assertEquals(decide(first, trial), Kind.REJECTED);
        network.advanceMs(SETTLED_MS);
        assertEquals(decide(first, trial), Kind.TRIAL);
        network.advanceMs(RESTART_MS);
        if (!isRestarted) {
            assertEquals(decide(first, trial), expected);
            return;
        }
        PromptPartGuard restarted = createGuard();
        restarted.recordLoss(KEYS, LOST, Optional.empty());
        assertEquals(decide(restarted, restarted.createTrialId(REQUEST)), expected);
    }

    private PromptPartGuard createGuard() {
        return new PromptPartGuard(
                new TrialClient(gatewayTransport, () -> Optional.of(LEADER), Runnable::run),
                timeSource,
                new ForwardingLog(new DecisionLog(timeSource), new ViewLease(timeSource, 1_000)));
    }

    private Kind decide(PromptPartGuard guard, String trial) {
        List<TrialDecision> decisions = new ArrayList<>();
        guard.decide(KEYS, trial, decisions::add);
        network.advanceMs(100);
        assertEquals(decisions.size(), 1);
        return decisions.get(0).kind();
    }
}
