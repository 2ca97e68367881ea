package org.cardamomthread.daemon.fleet;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link VoterStore}. */
public class VoterStoreTests {

    private static final List<NodeId> VOTERS =
            List.of(new NodeId("10.1.0.1"), new NodeId("10.2.0.1"), new NodeId("10.3.0.1"));

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("voters");
    }

    @Test
    public void loadsSavedVoters() throws IOException {
        VoterStore store = new VoterStore(folder);
        assertEquals(store.load(), Optional.empty());
        store.save(VOTERS);
        assertEquals(new VoterStore(folder).load(), Optional.of(VOTERS));
    }

    @Test
    public void treatsTruncatedFileAsAbsent() throws IOException {
        VoterStore store = new VoterStore(folder);
        store.save(VOTERS);
        Path file = folder.resolve("voters");
        byte[] completeFile = Files.readAllBytes(file);
        for (int length = 0; length < completeFile.length - 1; length++) {
            Files.write(file, Arrays.copyOf(completeFile, length));
            assertEquals(store.load(), Optional.empty(), "after " + length + " bytes");
        }
    }
}
