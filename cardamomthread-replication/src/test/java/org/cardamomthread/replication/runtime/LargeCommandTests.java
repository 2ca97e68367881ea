package org.cardamomthread.replication.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.ReplicationSettings;
import org.cardamomthread.replication.StateMachine;
import org.cardamomthread.replication.storage.FileLogStorage;
import org.cardamomthread.replication.storage.RecoveredState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that commands which replace a large state do not fill the memory or the disk. */
public class LargeCommandTests {

    private static final GroupId GROUP = new GroupId("traffic");
    private static final NodeId NODE = new NodeId("node-1");

    /** A quarter of the heap with which deploy/system.toml starts a control node. */
    private static final long MAX_RECOVERED_BYTES = 56L * 1024 * 1024 / 4;

    /** A quarter of the disk of a control node. */
    private static final long MAX_FOLDER_BYTES = 128L * 1024 * 1024 / 4;

    private static final long ELECTION_TIMEOUT_MS = 1_000;

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private Path folder;

    /** Holds the last command, like a document that each command replaces. */
    private static final class LastCommand implements StateMachine {

        private byte[] state = new byte[0];

        @Override
        public byte[] apply(long index, byte[] command) {
            state = command;
            return new byte[0];
        }

        @Override
        public byte[] snapshot() {
            return state;
        }

        @Override
        public void restore(byte[] snapshot) {
            state = snapshot;
        }
    }

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("large-commands");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @DataProvider
    public Object[][] commandSizes() {
        return new Object[][] {{2_000_000, 40}, {400_000, 200}, {30_000, 2_700}};
    }

    /** Guards against voters that run out of memory when they start after many changes. */
    @Test(dataProvider = "commandSizes")
    public void logOfLargeCommandsStaysSmall(int commandBytes, int count) throws Exception {
        ReplicaDriver driver = createDriver(new LastCommand());
        driver.open();
        becomeLeader(driver);
        byte[] command = new byte[commandBytes];
        for (int i = 0; i < count; i++) {
            command = new byte[commandBytes];
            Arrays.fill(command, (byte) i);
            CompletableFuture<byte[]> result = new CompletableFuture<>();
            driver.propose(command, result);
            driver.flush();
            assertTrue(result.isDone(), "command " + i + " is not committed");
        }
        driver.close("closed");
        long folderBytes = folderBytes();
        assertTrue(
                folderBytes <= MAX_FOLDER_BYTES,
                folderBytes + " bytes on disk, maximum " + MAX_FOLDER_BYTES);

        FileLogStorage storage = new FileLogStorage(folder);
        RecoveredState recovered = storage.open(GROUP, NODE);
        storage.close();
        long bytes = recovered.entries().stream().mapToLong(e -> e.getData().size()).sum();
        assertTrue(
                bytes <= MAX_RECOVERED_BYTES,
                bytes + " bytes read at the start, maximum " + MAX_RECOVERED_BYTES);

        LastCommand restored = new LastCommand();
        ReplicaDriver restarted = createDriver(restored);
        restarted.open();
        becomeLeader(restarted);
        restarted.close("closed");
        assertEquals(restored.state, command);
    }

    private ReplicaDriver createDriver(StateMachine stateMachine) {
        return new ReplicaDriver(
                GROUP,
                NODE,
                ReplicationSettings.withDefaults(List.of(NODE))
                        .withElectionTimeoutAndHeartbeat(ELECTION_TIMEOUT_MS, 150),
                new FileLogStorage(folder),
                stateMachine,
                (to, message) -> {},
                timeSource,
                new Random(1));
    }

    private void becomeLeader(ReplicaDriver driver) throws Exception {
        for (int i = 0; i < 4 && !driver.status().isLeaseHeld(); i++) {
            timeSource.advanceMs(ELECTION_TIMEOUT_MS);
            driver.tick();
            driver.flush();
        }
        assertTrue(driver.status().isLeaseHeld());
    }

    private long folderBytes() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(Files::isRegularFile).mapToLong(f -> f.toFile().length()).sum();
        }
    }
}
