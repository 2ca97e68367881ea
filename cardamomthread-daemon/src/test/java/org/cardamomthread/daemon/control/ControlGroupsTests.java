package org.cardamomthread.daemon.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.replication.ReplicationStatus;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.replication.StorageException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Runs the groups of three voters and one diskless node in one process. */
public class ControlGroupsTests {

    private static final List<NodeId> VOTERS =
            List.of(new NodeId("node-1"), new NodeId("node-2"), new NodeId("node-3"));
    private static final NodeId DISKLESS = new NodeId("node-4");
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final Map<NodeId, InProcessPeerTransport> network = new ConcurrentHashMap<>();
    private final Map<NodeId, ControlGroups> nodes = new HashMap<>();
    private Path folder;

    /** Stores each command once, so that a repeated command gets its first result again. */
    private static final class IdempotentCommandLog implements StateMachine {
        private final List<String> commands = new CopyOnWriteArrayList<>();

        @Override
        public byte[] apply(long index, byte[] command) {
            String text = new String(command, StandardCharsets.UTF_8);
            if (!commands.contains(text)) {
                commands.add(text);
            }
            return bytes(text + " is number " + commands.indexOf(text));
        }

        @Override
        public byte[] snapshot() {
            return bytes(String.join("\n", commands));
        }

        @Override
        public void restore(byte[] state) {
            commands.clear();
            new String(state, StandardCharsets.UTF_8).lines().forEach(commands::add);
        }

        byte[] count(byte[] query) {
            return bytes(String.valueOf(commands.size()));
        }
    }

    @BeforeMethod
    public void startNodes() throws Exception {
        folder = Files.createTempDirectory("control");
        for (NodeId node : VOTERS) {
            start(node, Optional.of(folder.resolve(node.value())));
        }
        start(DISKLESS, Optional.empty());
    }

    private void start(NodeId node, Optional<Path> dataFolder) throws StorageException {
        List<GroupDefinition> definitions = new ArrayList<>();
        IdempotentCommandLog configuration = new IdempotentCommandLog();
        IdempotentCommandLog claims = new IdempotentCommandLog();
        definitions.add(GroupDefinition.configuration(VOTERS, configuration, configuration::count));
        definitions.add(GroupDefinition.claims(VOTERS, claims, claims::count));
        ControlGroups groups =
                new ControlGroups(
                        node,
                        dataFolder,
                        definitions,
                        new InProcessPeerTransport(network, node),
                        timeSource,
                        new SplittableRandom(node.hashCode()));
        groups.start();
        nodes.put(node, groups);
    }

    @AfterMethod(alwaysRun = true)
    public void stopNodes() throws IOException {
        nodes.values().forEach(ControlGroups::close);
        nodes.clear();
        network.clear();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Advances the clock until the future is complete. */
    private String await(CompletableFuture<byte[]> future) throws Exception {
        while (!future.isDone()) {
            timeSource.advanceMs(5);
            Thread.sleep(2);
        }
        return new String(future.get(1, TimeUnit.SECONDS), StandardCharsets.UTF_8);
    }

    private String propose(NodeId from, String command) throws Exception {
        return await(
                nodes.get(from)
                        .getClient()
                        .propose(GroupDefinition.CLAIMS, bytes(command), TIMEOUT));
    }

    private String count(NodeId from) throws Exception {
        return await(
                nodes.get(from).getClient().query(GroupDefinition.CLAIMS, new byte[0], TIMEOUT));
    }

    private NodeId findLeader() {
        return nodes.values().stream()
                .flatMap(groups -> groups.getStatuses().stream())
                .filter(status -> status.groupId().equals(GroupDefinition.CLAIMS))
                .filter(ReplicationStatus::isLeaseHeld)
                .map(ReplicationStatus::nodeId)
                .findFirst()
                .orElseThrow();
    }

    @Test
    public void forwardsCommandsAndReadsFromAnyNode() throws Exception {
        assertEquals(propose(DISKLESS, "first"), "first is number 0");
        assertEquals(propose(VOTERS.get(0), "second"), "second is number 1");
        assertEquals(propose(VOTERS.get(1), "first"), "first is number 0");
        assertEquals(count(DISKLESS), "2");
        assertEquals(count(VOTERS.get(2)), "2");
    }

    @Test
    public void keepsGroupStatesSeparate() throws Exception {
        propose(DISKLESS, "claim");
        assertEquals(
                await(
                        nodes.get(DISKLESS)
                                .getClient()
                                .propose(GroupDefinition.CONFIGURATION, bytes("change"), TIMEOUT)),
                "change is number 0");
    }

    @Test
    public void continuesAfterLeaderFailure() throws Exception {
        propose(DISKLESS, "first");
        NodeId failedLeader = findLeader();
        network.get(failedLeader).close();
        nodes.remove(failedLeader).close();
        assertEquals(propose(DISKLESS, "second"), "second is number 1");
        assertEquals(count(DISKLESS), "2");
    }

    @Test
    public void restoresStateAfterRestartOfAllVoters() throws Exception {
        propose(DISKLESS, "first");
        for (NodeId node : VOTERS) {
            nodes.remove(node).close();
        }
        for (NodeId node : VOTERS) {
            start(node, Optional.of(folder.resolve(node.value())));
        }
        assertEquals(propose(DISKLESS, "second"), "second is number 1");
    }

    @Test
    public void rejectsVoterWithoutDataFolder() {
        IllegalArgumentException failure =
                expectThrows(
                        IllegalArgumentException.class,
                        () -> start(VOTERS.get(0), Optional.empty()));
        assertTrue(failure.getMessage().contains("must have a dataFolder"));
    }
}
