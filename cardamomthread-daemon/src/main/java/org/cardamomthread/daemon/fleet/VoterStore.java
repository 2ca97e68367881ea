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
 * Keeps on disk which nodes formed the group, since seeds may name others after the first start.
 *
 * <p>The file ends in a line that a torn write lacks; such a file counts as absent. Used by one
 * thread at a time.
 */
final class VoterStore {

    private static final String FILE_NAME = "voters";
    private static final String TEMPORARY_FILE_NAME = "voters.new";
    private static final String END_MARKER = "end";

    private final Path folder;

    VoterStore(Path folder) {
        this.folder = folder;
    }

    /** Reads the voters, or returns empty if none were written whole. */
    Optional<List<NodeId>> load() throws IOException {
        Path file = folder.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        List<String> lines = Files.readAllLines(file);
        boolean isWhole = lines.size() > 1 && lines.get(lines.size() - 1).equals(END_MARKER);
        if (!isWhole) {
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
