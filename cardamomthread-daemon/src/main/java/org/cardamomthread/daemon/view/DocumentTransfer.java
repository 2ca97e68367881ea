package org.cardamomthread.daemon.view;

import java.util.Arrays;
import java.util.Optional;
import org.cardamomthread.daemon.dialect.MalformedMessageException;

/**
 * Assembles a traffic document from its parts.
 *
 * <p>Invariant: the bytes received are those of one document, from its start and without gaps. A
 * transfer of which a part has arrived is finished also if a newer document is announced, since
 * documents that change faster than they are transferred would otherwise never arrive. Not
 * thread-safe.
 */
final class DocumentTransfer {

    /** Maximum length of a document: that of the largest command that reaches the replicas. */
    static final int MAX_DOCUMENT_BYTES = 4 << 20;

    private long newestVersion;
    private long version;
    private Optional<DocumentDescription> description = Optional.empty();
    private byte[] received = {};
    private int receivedBytes;

    /** Sets the newest version, which is transferred next or after the current one. */
    void announce(long announcedVersion) {
        newestVersion = announcedVersion;
        if (version == 0) {
            restart(newestVersion);
        }
    }

    /** Returns whether nothing of the current document has been received yet. */
    boolean isEmpty() {
        return receivedBytes == 0;
    }

    /** Discards everything received and announced. */
    void clear() {
        newestVersion = 0;
        restart(0);
    }

    /** Discards what was received and starts the newest version. */
    void startNewest() {
        restart(newestVersion);
    }

    /** Returns the version that is being transferred, 0 if none is. */
    long version() {
        return version;
    }

    /** Returns the newest version announced, 0 if none is. */
    long newestVersion() {
        return newestVersion;
    }

    /**
     * Returns the request for the next part, or empty if there is nothing to transfer.
     *
     * @param maxBytes maximum size of the part
     */
    Optional<DocumentPartRequest> nextRequest(int maxBytes) {
        if (version == 0) {
            return Optional.empty();
        }
        long checksum = description.map(DocumentDescription::checksum).orElse(0L);
        return Optional.of(new DocumentPartRequest(version, checksum, receivedBytes, maxBytes));
    }

    /**
     * Adds a part.
     *
     * @return the document if this part completed it
     * @throws MalformedMessageException if the part is not the next one, which leaves the received
     *     bytes as they are, or if the document does not match its description, which discards them
     */
    Optional<byte[]> accept(DocumentPart part) throws MalformedMessageException {
        DocumentDescription document = part.document();
        if (version != 0 && receivedBytes == 0) {
            version = Math.max(version, document.version());
        }
        if (version == 0 || document.version() != version) {
            throw new MalformedMessageException(
                    "the part belongs to version " + document.version() + ", expected " + version);
        }
        requireLength("lengthBytes", document.lengthBytes());
        requireLength("compressedBytes", document.compressedBytes());
        if (description.isPresent() && !description.get().equals(document)) {
            // Either description may be the wrong one, so that neither can be continued.
            restart(version);
            throw new MalformedMessageException("the length or checksum of the document changed");
        }
        int length = part.content().size();
        int missingBytes = document.compressedBytes() - receivedBytes;
        if (part.offset() != receivedBytes
                || length == 0
                || length > Math.min(DocumentServer.MAX_PART_BYTES, missingBytes)) {
            throw new MalformedMessageException(
                    "the part has %d bytes at %d, expected at most %d at %d"
                            .formatted(length, part.offset(), missingBytes, receivedBytes));
        }
        description = Optional.of(document);
        append(part);
        if (receivedBytes < document.compressedBytes()) {
            return Optional.empty();
        }
        byte[] content = received;
        restart(version);
        return Optional.of(CompressedDocument.decompress(document, content));
    }

    private void append(DocumentPart part) {
        int endOffset = receivedBytes + part.content().size();
        if (received.length < endOffset) {
            int capacity = Math.min(part.document().compressedBytes(), 2 * endOffset);
            received = Arrays.copyOf(received, capacity);
        }
        part.content().copyTo(received, receivedBytes);
        receivedBytes = endOffset;
    }

    private void restart(long startedVersion) {
        version = startedVersion;
        description = Optional.empty();
        received = new byte[0];
        receivedBytes = 0;
    }

    private static void requireLength(String name, int length) throws MalformedMessageException {
        if (length <= 0 || length > MAX_DOCUMENT_BYTES) {
            throw new MalformedMessageException(
                    name + " " + length + " must be from 1 to " + MAX_DOCUMENT_BYTES);
        }
    }
}
