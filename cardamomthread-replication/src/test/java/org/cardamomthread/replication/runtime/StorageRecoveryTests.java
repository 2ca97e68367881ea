package org.cardamomthread.replication.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicaRole;
import org.cardamomthread.replication.ReplicationGroup;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.simulation.RecordingStateMachine;
import org.cardamomthread.replication.storage.InMemoryLogStorage;
import org.cardamomthread.replication.storage.StorageFaultInjector;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that replicas whose storage fails for a while take part again without a restart. */
public class StorageRecoveryTests {

    private static final GroupId GROUP = new GroupId("traffic");
    private static final List<NodeId> NODES =
            List.of(new NodeId("node-1"), new NodeId("node-2"), new NodeId("node-3"));
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 4;
    private static final long TIMEOUT_MS = 20_000;

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final Map<NodeId, ReplicationGroup> groups = new HashMap<>();
    private final Map<NodeId, TreeMap<Long, String>> applied = new ConcurrentHashMap<>();
    private final Map<NodeId, StorageFaultInjector.Step> failingSteps = new ConcurrentHashMap<>();

    /** Records what a replica has applied, and that it never returns to an earlier state. */
    private final class AppliedCommands implements RecordingStateMachine.Listener {

        private final NodeId node;

        AppliedCommands(NodeId node) {
            this.node = node;
            applied.put(node, new TreeMap<>());
        }

        @Override
        public void onApplied(long index, String command) {
            TreeMap<Long, String> commands = applied.get(node);
            synchronized (commands) {
                assertTrue(commands.isEmpty() || index > commands.lastKey(), "applied twice");
                commands.put(index, command);
            }
        }

        @Override
        public void onRestored(TreeMap<Long, String> state) {
            TreeMap<Long, String> commands = applied.get(node);
            synchronized (commands) {
                assertTrue(
                        state.keySet().containsAll(commands.keySet()), "restored an older state");
                commands.putAll(state);
            }
        }
    }

    @BeforeMethod
    public void startGroups() throws Exception {
        failingSteps.clear();
        ReplicationSettings settings =
                ReplicationSettings.withDefaults(NODES)
                        .withElectionTimeoutAndHeartbeat(300, 30)
                        .withSnapshotIntervalEntries(SNAPSHOT_INTERVAL_ENTRIES);
        for (NodeId node : NODES) {
            groups.put(
                    node,
                    new DefaultReplicationGroup(
                            GROUP,
                            node,
                            settings,
                            new InMemoryLogStorage(
                                    new VoterId(node + "-folder"), step -> beforeStep(node, step)),
                            new RecordingStateMachine(new AppliedCommands(node)),
                            (to, message) -> groups.get(to).receive(node, message),
                            timeSource,
                            new Random(node.hashCode())));
        }
        for (ReplicationGroup group : groups.values()) {
            group.start();
        }
    }

    private void beforeStep(NodeId node, StorageFaultInjector.Step step) throws StorageException {
        if (step == failingSteps.get(node)) {
            throw new StorageException("no space left at " + step);
        }
    }

    @AfterMethod(alwaysRun = true)
    public void closeGroups() {
        groups.values().forEach(ReplicationGroup::close);
        groups.clear();
    }

    @DataProvider
    public Object[][] failingSteps() {
        return new Object[][] {
            {StorageFaultInjector.Step.APPEND},
            {StorageFaultInjector.Step.SYNC},
            {StorageFaultInjector.Step.REPLACE_SNAPSHOT}
        };
    }

    /** Guards against a full disk that costs the group a voter until its process is restarted. */
    @Test(dataProvider = "failingSteps")
    public void groupOutlivesStorageFailuresOfAllReplicasInTurn(StorageFaultInjector.Step step)
            throws Exception {
        for (NodeId node : NODES) {
            proposeUntil(() -> findLeader().isPresent(), "a leader");
            failingSteps.put(node, step);
            proposeUntil(() -> status(node).role() == ReplicaRole.STOPPED, node + " fails");
            assertTrue(status(node).failure().orElseThrow().contains("no space left"));
            failingSteps.remove(node);
            proposeUntil(() -> isCurrent(node), node + " takes part again");
            assertEquals(status(node).failure(), Optional.empty());
        }
        proposeUntil(() -> findLeader().isPresent(), "a leader");
        byte[] result =
                findLeader()
                        .orElseThrow()
                        .propose("last".getBytes(StandardCharsets.UTF_8))
                        .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertEquals(result.length, Long.BYTES);
    }

    private boolean isCurrent(NodeId node) {
        ReplicationStatus status = status(node);
        return status.role() != ReplicaRole.STOPPED
                && findLeader()
                        .filter(leader -> leader.status().appliedIndex() == status.appliedIndex())
                        .isPresent();
    }

    private ReplicationStatus status(NodeId node) {
        return groups.get(node).status();
    }

    private Optional<ReplicationGroup> findLeader() {
        return groups.values().stream().filter(group -> group.status().isLeaseHeld()).findFirst();
    }

    private void proposeUntil(BooleanSupplier condition, String expectation)
            throws InterruptedException {
        long endMs = System.currentTimeMillis() + TIMEOUT_MS;
        CompletableFuture<byte[]> pending = CompletableFuture.completedFuture(new byte[0]);
        while (!condition.getAsBoolean()) {
            assertTrue(System.currentTimeMillis() < endMs, "not in time: " + expectation);
            if (pending.isDone()) {
                pending =
                        findLeader()
                                .map(leader -> leader.propose(new byte[] {'x'}))
                                .orElse(pending);
            }
            timeSource.advanceMs(2);
            Thread.sleep(2);
        }
    }
}
