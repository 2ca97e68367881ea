package org.cardamomthread.replication.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.UUID;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.replication.GroupId;
import org.cardamomthread.replication.StorageException;
import org.cardamomthread.replication.VoterId;
import org.cardamomthread.replication.generated.FolderIdentity;

/** Reads and creates the file that binds a folder to a group, node and voter. Not thread-safe. */
final class FolderIdentityFile {

    private static final String FILE_NAME = "identity";
    private static final String TEMPORARY_FILE_NAME = "temporary-identity";
    private static final int FORMAT_VERSION = 1;

    private final Path folder;
    private final FileAccess fileAccess;

    FolderIdentityFile(Path folder, FileAccess fileAccess) {
        this.folder = folder;
        this.fileAccess = fileAccess;
    }

    boolean exists() {
        return Files.exists(folder.resolve(FILE_NAME));
    }

    VoterId create(GroupId groupId, NodeId nodeId) throws IOException {
        VoterId voterId = new VoterId(UUID.randomUUID().toString());
        FolderIdentity identity =
                FolderIdentity.newBuilder()
                        .setFormatVersion(FORMAT_VERSION)
                        .setGroupId(groupId.value())
                        .setNodeId(nodeId.value())
                        .setVoterId(voterId.value())
                        .build();
        Path temporary = folder.resolve(TEMPORARY_FILE_NAME);
        fileAccess.delete(temporary);
        try (FileChannel channel =
                FileChannel.open(temporary, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
            fileAccess.write(channel, ByteBuffer.wrap(RecordFrame.encode(identity.toByteArray())));
            fileAccess.force(channel);
        }
        fileAccess.moveAtomically(temporary, folder.resolve(FILE_NAME));
        fileAccess.syncFolder(folder);
        return voterId;
    }

    VoterId read(GroupId groupId, NodeId nodeId) throws IOException, StorageException {
        Path file = folder.resolve(FILE_NAME);
        FolderIdentity identity = parse(file, Files.readAllBytes(file));
        if (identity.getFormatVersion() != FORMAT_VERSION) {
            throw new StorageIdentityException(
                    file
                            + " has the unsupported format version "
                            + identity.getFormatVersion()
                            + "; use a release that supports it, this release supports version "
                            + FORMAT_VERSION);
        }
        requireMatch(file, "group", identity.getGroupId(), groupId.value());
        requireMatch(file, "node", identity.getNodeId(), nodeId.value());
        return new VoterId(identity.getVoterId());
    }

    private static FolderIdentity parse(Path file, byte[] content) throws StorageException {
        if (RecordFrame.checkRecord(content, 0) != RecordFrame.RecordStatus.VALID) {
            throw new StorageCorruptedException(file.toString(), "the identity record is corrupt");
        }
        try {
            int length = RecordFrame.payloadLength(content, 0);
            return FolderIdentity.parseFrom(
                    ByteBuffer.wrap(content, RecordFrame.HEADER_BYTES, length));
        } catch (InvalidProtocolBufferException e) {
            throw new StorageCorruptedException(
                    file.toString(), "the identity record cannot be parsed");
        }
    }

    private static void requireMatch(
            Path file, String identifierName, String found, String expected)
            throws StorageIdentityException {
        if (!found.equals(expected)) {
            throw new StorageIdentityException(
                    file
                            + " belongs to "
                            + identifierName
                            + " \""
                            + found
                            + "\" but the settings name \""
                            + expected
                            + "\"; start with an empty folder instead of a copied one, or correct"
                            + " the settings");
        }
    }
}
