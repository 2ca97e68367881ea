package org.cardamomthread.daemon.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.RequestId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.gateway.GuardedPrompt;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.daemon.testing.LossyPeerNetwork;
import org.cardamomthread.policy.quarantine.TrialDecision.Kind;
import org.cardamomthread.policy.routing.PromptPrefix;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which blocks a lost request puts under suspicion, on two nodes. */
public class SuspectedBlocksTests {

    private static final ServiceId CHAT = new ServiceId("chat");
    private static final Peer FIRST = new Peer(new NodeId("node-0"), 1);
    private static final Peer SECOND = new Peer(new NodeId("node-1"), 1);

    private ManualTimeSource timeSource;
    private LossyPeerNetwork network;
    private SharedPromptGuard first;
    private SharedPromptGuard second;

    @BeforeMethod
    public void connect() {
        timeSource = new ManualTimeSource();
        network = new LossyPeerNetwork(timeSource, 1, 5, 0);
        first = createGuard(FIRST, SECOND);
        second = createGuard(SECOND, FIRST);
        tick();
    }

    @DataProvider
    public Object[][] prompts() {
        return new Object[][] {
            {List.of(1L, 2L, 3L, 50L, 99L), Kind.UNRESTRICTED},
            {List.of(1L, 2L, 3L, 99L), Kind.UNRESTRICTED},
            {List.of(1L, 2L, 3L, 7L, 99L), Kind.TRIAL},
            {List.of(1L, 2L, 3L, 7L), Kind.UNRESTRICTED},
        };
    }

    @Test(dataProvider = "prompts")
    public void suspectsNoBlockThatAnotherNodeSawAnswered(List<Long> blocks, Kind expected) {
        first.recordAnswer(createPrompt(first, List.of(1L, 2L, 3L, 98L)), 0);
        assertTrue(second.recordLoss(createPrompt(second, List.of(1L, 2L, 3L, 7L, 97L)), "e1/1"));
        tick();
        assertEquals(decide(first, blocks), expected);
        tick();
        assertEquals(decide(second, blocks), expected);
    }

    @Test
    public void suspectsAnsweredBlocksOnlyAfterSeveralCrashes() {
        List<Long> blocks = List.of(1L, 2L, 98L);
        first.recordAnswer(createPrompt(first, blocks), 0);
        for (int crash = 1; crash <= 3; crash++) {
            assertEquals(decide(second, blocks), Kind.UNRESTRICTED, "crash " + crash);
            assertFalse(first.recordLoss(createPrompt(first, blocks), "e" + crash + "/1"));
            network.advanceMs(2_000);
            tick();
        }
        assertEquals(decide(second, blocks), Kind.TRIAL);
    }

    /** The owner of a block lets the holder of its trial send again, whichever run asks. */
    @Test
    public void namesNoTrialLikeOneOfAnEarlierRunOfTheNode() {
        SharedPromptGuard restarted = createGuard(new Peer(FIRST.node(), 2), SECOND);
        assertNotEquals(
                createPrompt(restarted, List.of(1L)).trial(),
                createPrompt(first, List.of(1L)).trial());
    }

    private SharedPromptGuard createGuard(Peer self, Peer other) {
        SharedPromptGuard guard =
                new SharedPromptGuard(
                        self,
                        () -> List.of(other),
                        network.createTransport(self.node()),
                        Runnable::run,
                        timeSource,
                        new DecisionLog(timeSource));
        guard.register();
        return guard;
    }

    private void tick() {
        first.tick();
        second.tick();
        network.advanceMs(100);
    }

    private Kind decide(SharedPromptGuard guard, List<Long> blocks) {
        GuardedPrompt prompt = createPrompt(guard, blocks);
        List<Kind> decisions = new ArrayList<>();
        guard.decide(prompt, decision -> decisions.add(decision.kind()));
        network.advanceMs(PromptBlockExchange.TIMEOUT_MS);
        guard.releaseTrial(prompt);
        network.advanceMs(100);
        assertEquals(decisions.size(), 1);
        return decisions.get(0);
    }

    private static GuardedPrompt createPrompt(SharedPromptGuard guard, List<Long> blocks) {
        long[] hashes = blocks.stream().mapToLong(Long::longValue).toArray();
        return guard.createPrompt(new RequestId("r1"), CHAT, PromptPrefix.ofHashes(hashes, 16));
    }
}
