package org.cardamomthread.daemon.start;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.cardamomthread.configuration.document.DocumentProblem;
import org.cardamomthread.configuration.document.InvalidDocumentException;
import org.cardamomthread.configuration.document.SourceLocation;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.storage.StorageCorruptedException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that one attempt after another is made, each with a node that the next one replaces. */
public class NodeProcessTests {

    private static final Path FILE = Path.of("node.yaml");
    private static final long START_PERIOD_MS = 75_000;

    private final ManualTimeSource timeSource = new ManualTimeSource();
    private final List<DaemonExitCode> exits = new ArrayList<>();
    private final AtomicInteger openNodes = new AtomicInteger();
    private final List<Throwable> failures = new ArrayList<>();
    private int attempts;
    private NodeProcess process;

    @BeforeMethod
    public void create() {
        exits.clear();
        failures.clear();
        openNodes.set(0);
        attempts = 0;
        NodeFactory factory = new FailingNodeFactory();
        process =
                new NodeProcess(
                        factory,
                        new SettingsReloader(factory),
                        (code, reason) -> exits.add(code),
                        timeSource,
                        START_PERIOD_MS,
                        timeSource::advanceMs);
    }

    @DataProvider
    public Object[][] passingFailures() {
        return new Object[][] {
            {invalidSettings()},
            {new StorageException("the disk is full")},
            {new IllegalStateException("no file descriptor is left")},
            {new OutOfMemoryError("unable to create native thread")},
            {new StackOverflowError()},
        };
    }

    @Test(dataProvider = "passingFailures")
    public void startsAfterAFailureThatPasses(Throwable failure) {
        failures.add(failure);
        failures.add(failure);
        process.run(FILE);
        assertEquals(attempts, 3);
        assertEquals(openNodes.get(), 1);
        assertEquals(exits, List.of());
    }

    @Test
    public void waitsForSettingsThatBecomeUnreadableAfterAnotherFailure() {
        for (int i = 0; i < 10; i++) {
            failures.add(new StorageException("the folder is locked"));
        }
        failures.add(invalidSettings());
        process.run(FILE);
        assertEquals(exits, List.of());
        assertEquals(openNodes.get(), 1);
    }

    @Test
    public void endsAtOnceIfTheDataFolderIsDamaged() {
        failures.add(new StorageCorruptedException("data", "a record is damaged"));
        process.run(FILE);
        assertEquals(attempts, 1);
        assertEquals(exits, List.of(DaemonExitCode.STORAGE_FAILURE));
        assertEquals(openNodes.get(), 0);
    }

    @Test
    public void endsBeforeTheNodeHasStartedWhenToldToStop() {
        process.stop();
        assertEquals(exits, List.of(DaemonExitCode.STOPPED));
    }

    private static InvalidDocumentException invalidSettings() {
        DocumentProblem problem =
                new DocumentProblem(
                        SourceLocation.ofDocument("node.yaml"), "", "it is empty", "write it");
        return new InvalidDocumentException(List.of(problem));
    }

    /** Creates nodes that fail as listed, and that start once nothing is listed any more. */
    private final class FailingNodeFactory implements NodeFactory {

        @Override
        public StartableNode create(Path file) throws InvalidDocumentException {
            Optional<Throwable> failure =
                    attempts < failures.size()
                            ? Optional.of(failures.get(attempts))
                            : Optional.empty();
            attempts++;
            if (failure.isPresent() && failure.get() instanceof InvalidDocumentException invalid) {
                throw invalid;
            }
            openNodes.incrementAndGet();
            return new FakeNode(failure);
        }

        @Override
        public void validate(Path file) {
            throw new UnsupportedOperationException("not used by these tests");
        }
    }

    /** Fails to start if a failure is given. */
    private final class FakeNode implements StartableNode {

        private final Optional<Throwable> failure;

        FakeNode(Optional<Throwable> failure) {
            this.failure = failure;
        }

        @Override
        public void start() throws StorageException {
            if (failure.isEmpty()) {
                return;
            }
            if (failure.get() instanceof StorageException storage) {
                throw storage;
            }
            if (failure.get() instanceof Error error) {
                throw error;
            }
            throw (RuntimeException) failure.get();
        }

        @Override
        public boolean stopGracefully() {
            return true;
        }

        @Override
        public void close() {
            openNodes.decrementAndGet();
        }
    }
}
