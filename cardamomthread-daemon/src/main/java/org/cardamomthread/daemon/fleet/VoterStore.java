package org.cardamomthread.daemon.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;

/**
 * Stores the initial voters of the replication group on disk, since the seeds may list other nodes
 * after the first start.
 *
 * <p>The file ends with a marker line. A file without it was not completely written and is treated
 * as absent. Not thread-safe.
 */
final class VoterStore {

    private static final String FILE_NAME = "voters";
    private static final String TEMPORARY_FILE_NAME = "voters.new";
    private static final String END_MARKER = "end";

    private final Path folder;

    VoterStore(Path folder) {
        this.folder = folder;
    }

    /** Returns the stored voters, or empty if no complete file exists. */
    Optional<List<NodeId>> load() throws IOException {
        Path file = folder.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        List<String> lines = Files.readAllLines(file);
        boolean isComplete = lines.size() > 1 && lines.get(lines.size() - 1).equals(END_MARKER);
        if (!isComplete) {
            return Optional.empty();
        }
        return Optional.of(lines.subList(0, lines.size() - 1).stream().map(NodeId::new).toList());
    }

    void save(List<NodeId> voters) throws IOException {
        Files.createDirectories(folder);
        List<String> lines = new ArrayList<>();
        voters.forEach(voter -> lines.add(voter.value()));
        lines.add(END_MARKER);
        byte[] content = (String.join("\n", lines) + "\n").getBytes(StandardCharsets.UTF_8);
        Path temporary = folder.resolve(TEMPORARY_FILE_NAME);
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            channel.write(ByteBuffer.wrap(content));
            channel.force(true);
        }
        Files.move(temporary, folder.resolve(FILE_NAME), StandardCopyOption.ATOMIC_MOVE);
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }
}
