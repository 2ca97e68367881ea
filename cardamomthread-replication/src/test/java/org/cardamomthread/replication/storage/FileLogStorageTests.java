package org.cardamomthread.replication.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.generated.Entry;
import org.cardamomthread.replication.generated.SnapshotHeader;
import org.cardamomthread.replication.generated.TermState;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests recovery from corrupt, truncated and incomplete files, and from failed operations. */
public class FileLogStorageTests {

    private static final GroupId GROUP = new GroupId("claims");
    private static final NodeId NODE = new NodeId("node-1");
    private static final long MAX_SEGMENT_BYTES = 300;

    private Path parentFolder;
    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        parentFolder = Files.createTempDirectory("replication");
        folder = parentFolder.resolve("claims");
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(parentFolder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @Test
    public void recoversSyncedTermEntriesAndIdentity() throws Exception {
        RecoveredState first = writeLog(LongStream.rangeClosed(1, 50).toArray());
        RecoveredState recovered = reopen();
        assertEquals(recovered.voterId(), first.voterId());
        assertEquals(recovered.termState(), termState(3));
        assertEquals(recovered.entries(), entries(1, 50, 3));
    }

    @Test
    public void replacesEntriesFromTheFirstIndexOfAnAppend() throws Exception {
        FileLogStorage storage = newStorage(new DefaultFileAccess());
        storage.open(GROUP, NODE);
        storage.append(entries(1, 10, 1));
        storage.append(entries(4, 5, 2));
        storage.sync();
        storage.close();
        List<Entry> expected = new ArrayList<>(entries(1, 3, 1));
        expected.addAll(entries(4, 5, 2));
        assertEquals(reopen().entries(), expected);
    }

    @Test
    public void truncatesAnIncompleteRecordAtTheEnd() throws Exception {
        writeLog(1, 2, 3);
        Path segment = lastSegmentFile();
        byte[] content = Files.readAllBytes(segment);
        for (int truncatedBytes = 1; truncatedBytes < 40; truncatedBytes++) {
            Files.write(segment, Arrays.copyOf(content, content.length - truncatedBytes));
            List<Entry> recoveredEntries = reopen().entries();
            assertTrue(recoveredEntries.size() < 3);
            assertEquals(recoveredEntries, entries(1, recoveredEntries.size(), 3));
            assertEquals(reopen().entries(), recoveredEntries);
        }
    }

    @Test
    public void truncatesZeroedSectorsAtTheEnd() throws Exception {
        writeLog(1, 2, 3);
        Path segment = lastSegmentFile();
        byte[] content = Files.readAllBytes(segment);
        Files.write(segment, Arrays.copyOf(content, content.length + 1500));
        assertEquals(reopen().entries(), entries(1, 3, 3));
    }

    @Test
    public void rejectsAnyFlippedBitAndNamesTheRemedy() throws Exception {
        writeLog(1, 2, 3);
        Path segment = lastSegmentFile();
        byte[] content = Files.readAllBytes(segment);
        for (int bit = 0; bit < content.length * 8; bit += 3) {
            byte[] corruptContent = content.clone();
            corruptContent[bit / 8] ^= (byte) (1 << bit % 8);
            Files.write(segment, corruptContent);
            StorageException failure = expectThrows(StorageCorruptedException.class, this::reopen);
            assertTrue(failure.getMessage().contains("move the group's folder away"));
            assertTrue(failure.getMessage().contains(segment.toString()));
        }
    }

    @Test
    public void rejectsATruncatedSegmentThatIsNotTheLast() throws Exception {
        writeLog(LongStream.rangeClosed(1, 50).toArray());
        Path first = segmentFiles().get(0);
        byte[] content = Files.readAllBytes(first);
        Files.write(first, Arrays.copyOf(content, content.length - 1));
        expectThrows(StorageCorruptedException.class, this::reopen);
    }

    @Test
    public void rejectsAMissingSegment() throws Exception {
        writeLog(LongStream.rangeClosed(1, 50).toArray());
        Files.delete(segmentFiles().get(1));
        expectThrows(StorageCorruptedException.class, this::reopen);
    }

    @Test
    public void rejectsACorruptSnapshot() throws Exception {
        writeSnapshot(new DefaultFileAccess(), 50);
        Path file = folder.resolve(String.format("snapshot-%020d", 50));
        byte[] content = Files.readAllBytes(file);
        content[content.length - 1] ^= 1;
        Files.write(file, content);
        expectThrows(StorageCorruptedException.class, this::reopen);
    }

    @Test
    public void rejectsTheFolderOfAnotherNodeOrGroup() throws Exception {
        writeLog(1);
        FileLogStorage copied = newStorage(new DefaultFileAccess());
        StorageException failure =
                expectThrows(
                        StorageIdentityException.class,
                        () -> copied.open(GROUP, new NodeId("node-2")));
        assertTrue(failure.getMessage().contains("start with an empty folder"));
        copied.close();
        FileLogStorage other = newStorage(new DefaultFileAccess());
        expectThrows(
                StorageIdentityException.class,
                () -> other.open(new GroupId("configuration"), NODE));
        other.close();
    }

    @Test
    public void rejectsAFolderInUse() throws Exception {
        FileLogStorage storage = newStorage(new DefaultFileAccess());
        storage.open(GROUP, NODE);
        expectThrows(StorageLockedException.class, this::reopen);
        storage.close();
    }

    @Test
    public void rejectsALogWithoutIdentityFile() throws Exception {
        writeLog(1);
        Files.delete(folder.resolve("identity"));
        expectThrows(StorageCorruptedException.class, this::reopen);
    }

    @Test
    public void createsANewIdentityForALostFolder() throws Exception {
        RecoveredState first = writeLog(1);
        deleteFolder();
        parentFolder = Files.createTempDirectory("replication");
        folder = parentFolder.resolve("claims");
        RecoveredState second = reopen();
        assertNotEquals(second.voterId(), first.voterId());
        assertTrue(second.entries().isEmpty());
    }

    @Test
    public void deletesSegmentsCoveredByASnapshot() throws Exception {
        writeSnapshot(new DefaultFileAccess(), 50);
        assertEquals(segmentFiles().size(), 1);
        RecoveredState recovered = reopen();
        assertEquals(recovered.snapshotHeader().getIndex(), 50);
        assertTrue(recovered.entries().isEmpty());
        assertEquals(recovered.termState(), termState(3));
    }

    @DataProvider
    public Object[][] failures() {
        return new Object[][] {
            {FaultyFileAccess.Operation.WRITE, "No space left on device"},
            {FaultyFileAccess.Operation.FORCE, "Input/output error"}
        };
    }

    @Test(dataProvider = "failures")
    public void rejectsFurtherWritesAfterAFailedWriteOrSync(
            FaultyFileAccess.Operation operation, String reason) throws Exception {
        writeLog(1, 2);
        FaultyFileAccess access = new FaultyFileAccess(operation, 1);
        FileLogStorage storage = newStorage(access);
        storage.open(GROUP, NODE);
        StorageException failure =
                expectThrows(
                        StorageException.class,
                        () -> {
                            storage.append(entries(3, 3, 3));
                            storage.sync();
                            storage.append(entries(4, 4, 3));
                            storage.sync();
                        });
        assertTrue(failure.getMessage().contains(reason), failure.getMessage());
        assertTrue(failure.getMessage().contains("restart the node"));
        expectThrows(StorageException.class, storage::sync);
        expectThrows(StorageException.class, () -> storage.append(entries(4, 4, 3)));
        storage.close();
        assertTrue(reopen().entries().size() >= 2);
    }

    /** Guards against synced data that is lost when a storage is opened again after a full disk. */
    @Test(dataProvider = "failures")
    public void retainsSyncedDataWhenReopenedAfterAFailure(
            FaultyFileAccess.Operation operation, String reason) throws Exception {
        int operations = 0;
        boolean hasFailed = true;
        while (hasFailed) {
            deleteFolder();
            createFolder();
            writeLog(LongStream.rangeClosed(1, 20).toArray());
            FaultyFileAccess access = new FaultyFileAccess(operation, operations++);
            try (FileLogStorage storage = newStorage(access)) {
                long lastSyncedIndex = openAndAppendUntilFailure(storage, 20, 40);
                if (access.hasFailed()) {
                    lastSyncedIndex = openAndAppendUntilFailure(storage, lastSyncedIndex, 40);
                }
                assertEquals(lastSyncedIndex, 40, "operation " + operations);
            }
            hasFailed = access.hasFailed();
            RecoveredState recovered = reopen();
            assertEquals(recovered.snapshotHeader().getIndex(), 30);
            assertEquals(recovered.entries(), entries(31, 40, 3));
            assertEquals(recovered.termState(), termState(3));
        }
        assertTrue(operations > 20, "operations " + operations);
    }

    private static long openAndAppendUntilFailure(
            FileLogStorage storage, long lastSyncedIndex, long toIndex) {
        long syncedIndex = lastSyncedIndex;
        try {
            RecoveredState recovered = storage.open(GROUP, NODE);
            long snapshotIndex = recovered.snapshotHeader().getIndex();
            long lastIndex = snapshotIndex + recovered.entries().size();
            assertTrue(lastIndex >= lastSyncedIndex, lastIndex + " < " + lastSyncedIndex);
            assertEquals(recovered.termState(), termState(3));
            assertEquals(recovered.entries(), entries(snapshotIndex + 1, lastIndex, 3));
            syncedIndex = lastIndex;
            if (syncedIndex >= 30 && snapshotIndex < 30) {
                storage.saveSnapshot(snapshotHeader(30, "state"), bytes("state"));
            }
            for (long index = lastIndex + 1; index <= toIndex; index++) {
                storage.append(entries(index, index, 3));
                storage.sync();
                syncedIndex = index;
                if (index == 30) {
                    storage.saveSnapshot(snapshotHeader(30, "state"), bytes("state"));
                }
            }
        } catch (StorageException failure) {
            return syncedIndex;
        }
        return syncedIndex;
    }

    /** Guards against a vote that is forgotten with the segments before an unfinished one. */
    @Test
    public void retainsTermStateOfASegmentThatWasCreatedWithoutContent() throws Exception {
        writeLog(LongStream.rangeClosed(1, 50).toArray());
        long lastNumber = Segment.parseNumber(lastSegmentFile()).orElseThrow();
        Files.createFile(new Segment(lastNumber + 1, 0).filePath(folder));
        try (FileLogStorage storage = newStorage(new DefaultFileAccess())) {
            storage.open(GROUP, NODE);
            storage.append(entries(51, 51, 3));
            storage.sync();
            storage.saveSnapshot(snapshotHeader(51, "state"), bytes("state"));
        }
        assertEquals(segmentFiles().size(), 1);
        assertEquals(reopen().termState(), termState(3));
    }

    @Test
    public void retainsSyncedDataAfterACrashAtEachOperation() throws Exception {
        int operations = 0;
        boolean hasFailed = true;
        while (hasFailed) {
            deleteFolder();
            createFolder();
            writeLog(LongStream.rangeClosed(1, 20).toArray());
            FaultyFileAccess access =
                    new FaultyFileAccess(FaultyFileAccess.Operation.ANY, operations++);
            long lastSyncedIndex = writeUntilFailure(access);
            hasFailed = access.hasFailed();
            RecoveredState recovered = reopen();
            long lastIndex = recovered.snapshotHeader().getIndex() + recovered.entries().size();
            assertTrue(lastIndex >= lastSyncedIndex, "operation " + operations + ": " + lastIndex);
            assertEquals(recovered.termState(), termState(3));
            long firstIndex = recovered.snapshotHeader().getIndex() + 1;
            assertEquals(
                    recovered.entries(), entries(firstIndex, lastIndex, firstIndex > 100 ? 4 : 3));
        }
        assertTrue(operations > 30, "operations " + operations);
    }

    @Test
    public void installedSnapshotReplacesTheWholeLog() throws Exception {
        int operations = 0;
        boolean hasFailed = true;
        while (hasFailed) {
            deleteFolder();
            createFolder();
            writeLog(LongStream.rangeClosed(1, 20).toArray());
            FaultyFileAccess access =
                    new FaultyFileAccess(FaultyFileAccess.Operation.ANY, operations++);
            try (FileLogStorage storage = newStorage(access)) {
                storage.open(GROUP, NODE);
                storage.installSnapshot(snapshotHeader(15, "state"), bytes("state"));
            } catch (StorageException expected) {
                assertTrue(access.hasFailed());
            }
            hasFailed = access.hasFailed();
            RecoveredState recovered = reopen();
            boolean isInstalled = recovered.snapshotHeader().getIndex() == 15;
            assertEquals(recovered.entries(), isInstalled ? List.of() : entries(1, 20, 3));
            assertEquals(recovered.termState(), termState(3));
        }
        assertTrue(operations > 5, "operations " + operations);
    }

    @Test
    public void syncsTheParentsOfACreatedFolder() throws Exception {
        folder = parentFolder.resolve("data").resolve("claims");
        FaultyFileAccess access =
                new FaultyFileAccess(FaultyFileAccess.Operation.ANY, Integer.MAX_VALUE);
        try (FileLogStorage storage = newStorage(access)) {
            storage.open(GROUP, NODE);
        }
        assertTrue(
                access.syncedFolders()
                        .containsAll(List.of(parentFolder, parentFolder.resolve("data"), folder)),
                access.syncedFolders().toString());
    }

    /** Appends, saves and installs snapshots until an operation fails; returns the synced index. */
    private long writeUntilFailure(FileAccess access) {
        long lastSyncedIndex = 20;
        try (FileLogStorage storage = newStorage(access)) {
            storage.open(GROUP, NODE);
            for (long index = 21; index <= 30; index++) {
                storage.append(entries(index, index, 3));
                storage.sync();
                lastSyncedIndex = index;
            }
            storage.saveSnapshot(snapshotHeader(28, "state"), bytes("state"));
            storage.installSnapshot(snapshotHeader(100, "other"), bytes("other"));
            lastSyncedIndex = 100;
            storage.append(entries(101, 101, 4));
            storage.sync();
            lastSyncedIndex = 101;
        } catch (StorageException expected) {
            return lastSyncedIndex;
        }
        return lastSyncedIndex;
    }

    private void writeSnapshot(FileAccess access, long index) throws StorageException {
        writeLog(LongStream.rangeClosed(1, index).toArray());
        FileLogStorage storage = newStorage(access);
        storage.open(GROUP, NODE);
        storage.saveSnapshot(snapshotHeader(index, "the state"), bytes("the state"));
        assertEquals(storage.readSnapshot(4, 100), bytes("state"));
        storage.close();
    }

    private RecoveredState writeLog(long... indexes) throws StorageException {
        FileLogStorage storage = newStorage(new DefaultFileAccess());
        RecoveredState opened = storage.open(GROUP, NODE);
        storage.writeTermState(termState(3));
        for (long index : indexes) {
            storage.append(entries(index, index, 3));
        }
        storage.sync();
        storage.close();
        return opened;
    }

    private RecoveredState reopen() throws StorageException {
        try (FileLogStorage storage = newStorage(new DefaultFileAccess())) {
            return storage.open(GROUP, NODE);
        }
    }

    private FileLogStorage newStorage(FileAccess access) {
        return new FileLogStorage(folder, access, MAX_SEGMENT_BYTES);
    }

    private Path lastSegmentFile() throws IOException {
        List<Path> all = segmentFiles();
        return all.get(all.size() - 1);
    }

    private List<Path> segmentFiles() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            List<Path> found =
                    files.filter(file -> Segment.parseNumber(file).isPresent()).sorted().toList();
            assertFalse(found.isEmpty());
            return found;
        }
    }

    private static SnapshotHeader snapshotHeader(long index, String state) {
        return SnapshotHeader.newBuilder()
                .setIndex(index)
                .setTerm(3)
                .setSizeBytes(state.length())
                .setChecksum(Checksums.crc32c(bytes(state)))
                .build();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static TermState termState(long term) {
        return TermState.newBuilder().setTerm(term).setVotedFor("voter").build();
    }

    private static List<Entry> entries(long first, long last, long term) {
        return LongStream.rangeClosed(first, last)
                .mapToObj(
                        index ->
                                Entry.newBuilder()
                                        .setIndex(index)
                                        .setTerm(term)
                                        .setData(ByteString.copyFromUtf8("command-" + index))
                                        .build())
                .toList();
    }
}
