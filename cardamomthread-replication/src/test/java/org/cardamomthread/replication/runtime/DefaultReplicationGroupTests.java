package org.cardamomthread.replication.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.NotLeaderException;
import org.cardamomthread.replication.OutcomeUnknownException;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicaUnavailableException;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.simulation.RecordingStateMachine;
import org.cardamomthread.replication.storage.InMemoryLogStorage;
import org.cardamomthread.replication.storage.StorageFaultInjector;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a group of three replicas in one process with a manually advanced clock. */
public class DefaultReplicationGroupTests {

    private static final GroupId GROUP = new GroupId("claims");
    private static final List<NodeId> NODES =
            List.of(new NodeId("node-1"), new NodeId("node-2"), new NodeId("node-3"));
    private static final long TIMEOUT_MS = 10_000;

    private final Map<NodeId, ReplicationGroup> groups = new HashMap<>();
    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final AtomicReference<StorageFaultInjector.Step> failingStep = new AtomicReference<>();

    /** Ignores all events. */
    private static final class NoOpListener implements RecordingStateMachine.Listener {
        @Override
        public void onApplied(long index, String command) {}

        @Override
        public void onRestored(TreeMap<Long, String> state) {}
    }

    @BeforeMethod
    public void startGroups() throws Exception {
        failingStep.set(null);
        ReplicationSettings settings =
                ReplicationSettings.withDefaults(NODES).withElectionTimeoutAndHeartbeat(300, 30);
        for (NodeId node : NODES) {
            InMemoryLogStorage storage =
                    new InMemoryLogStorage(new VoterId(node + "-folder"), this::beforeStep);
            groups.put(
                    node,
                    new DefaultReplicationGroup(
                            GROUP,
                            node,
                            settings,
                            storage,
                            new RecordingStateMachine(new NoOpListener()),
                            (to, message) -> groups.get(to).receive(node, message),
                            timeSource,
                            new Random(node.hashCode())));
        }
        for (ReplicationGroup group : groups.values()) {
            group.start();
        }
    }

    private void beforeStep(StorageFaultInjector.Step step) throws StorageException {
        if (step == failingStep.get()) {
            throw new StorageException("disk failed at " + step + "; replace it");
        }
    }

    @AfterMethod(alwaysRun = true)
    public void closeGroups() {
        groups.values().forEach(ReplicationGroup::close);
    }

    /** Advances the clock until there is a leader; the clock then stops, so the leader remains. */
    private ReplicationGroup awaitLeader() throws InterruptedException {
        long endMs = System.currentTimeMillis() + TIMEOUT_MS;
        while (System.currentTimeMillis() < endMs) {
            for (ReplicationGroup group : groups.values()) {
                if (group.status().isLeaseHeld()) {
                    return group;
                }
            }
            timeSource.advanceMs(2);
            Thread.sleep(2);
        }
        throw new AssertionError("no leader within " + TIMEOUT_MS + " ms");
    }

    private static <T> T get(CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void completesProposalsAndReads() throws Exception {
        ReplicationGroup leader = awaitLeader();
        List<CompletableFuture<byte[]>> results = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            results.add(leader.propose(bytes("command-" + i)));
        }
        for (CompletableFuture<byte[]> result : results) {
            assertEquals(get(result).length, Long.BYTES);
        }
        assertTrue(get(leader.readBarrier()) >= 1000);
    }

    @Test
    public void rejectedProposalNamesTheLeader() throws Exception {
        ReplicationGroup leader = awaitLeader();
        ReplicationGroup follower =
                groups.values().stream().filter(g -> g != leader).findFirst().orElseThrow();
        for (int i = 0; i < TIMEOUT_MS / 5 && follower.status().leader().isEmpty(); i++) {
            Thread.sleep(5);
        }
        ExecutionException failure =
                expectThrows(
                        ExecutionException.class, () -> get(follower.propose(bytes("command"))));
        NotLeaderException notLeader = (NotLeaderException) failure.getCause();
        assertEquals(notLeader.leader().orElseThrow(), leader.status().nodeId());
        assertTrue(notLeader.isGuaranteedNotAppended());
    }

    @DataProvider
    public Object[][] failingSteps() {
        return new Object[][] {
            {StorageFaultInjector.Step.APPEND}, {StorageFaultInjector.Step.SYNC}
        };
    }

    @Test(dataProvider = "failingSteps")
    public void stopsAfterAStorageFailureAndReportsIt(StorageFaultInjector.Step step)
            throws Exception {
        ReplicationGroup leader = awaitLeader();
        failingStep.set(step);
        ExecutionException outcomeUnknown =
                expectThrows(ExecutionException.class, () -> get(leader.propose(bytes("command"))));
        assertTrue(outcomeUnknown.getCause() instanceof OutcomeUnknownException);
        ExecutionException unavailable =
                expectThrows(ExecutionException.class, () -> get(leader.propose(bytes("another"))));
        assertTrue(unavailable.getCause() instanceof ReplicaUnavailableException);
        assertTrue(unavailable.getCause().getMessage().contains("replace it"));
        assertEquals(leader.status().role(), ReplicaRole.STOPPED);
        assertTrue(leader.status().failure().orElseThrow().contains("disk failed at " + step));
        assertFalse(leader.status().isLeaseHeld());
    }

    @Test
    public void rejectsProposalsAfterClose() throws Exception {
        ReplicationGroup leader = awaitLeader();
        leader.close();
        ExecutionException failure =
                expectThrows(ExecutionException.class, () -> get(leader.propose(bytes("command"))));
        assertTrue(((ReplicaUnavailableException) failure.getCause()).isGuaranteedNotAppended());
    }

    @Test
    public void rejectsAnOversizedCommand() throws Exception {
        ReplicationGroup leader = awaitLeader();
        ExecutionException failure =
                expectThrows(
                        ExecutionException.class, () -> get(leader.propose(new byte[5_000_000])));
        assertTrue(((ReplicaUnavailableException) failure.getCause()).isGuaranteedNotAppended());
        assertEquals(get(leader.propose(bytes("command"))).length, Long.BYTES);
    }
}
