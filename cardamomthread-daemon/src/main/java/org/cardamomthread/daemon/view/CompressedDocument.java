package org.cardamomthread.daemon.view;

import com.google.protobuf.ByteString;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.CRC32;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.cardamomthread.daemon.dialect.MalformedMessageException;

/**
 * A traffic document in the compressed form in which gateways receive it. Immutable.
 *
 * @param description identifies the compressed form
 * @param content the compressed document
 */
record CompressedDocument(DocumentDescription description, ByteString content) {

    /** Compresses a document. */
    static CompressedDocument compress(long version, ByteString document) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(compressed)) {
            document.writeTo(gzip);
        } catch (IOException e) {
            throw new UncheckedIOException("compressing a document in memory failed", e);
        }
        byte[] content = compressed.toByteArray();
        DocumentDescription description =
                new DocumentDescription(
                        version, document.size(), content.length, computeChecksum(content));
        return new CompressedDocument(description, ByteString.copyFrom(content));
    }

    /**
     * Returns the document that a gateway received.
     *
     * @throws MalformedMessageException if the content does not match the description
     */
    static byte[] decompress(DocumentDescription description, byte[] content)
            throws MalformedMessageException {
        long checksum = computeChecksum(content);
        if (checksum != description.checksum()) {
            throw new MalformedMessageException(
                    "the compressed document has the checksum "
                            + checksum
                            + ", expected "
                            + description.checksum());
        }
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(content))) {
            byte[] document = gzip.readNBytes(description.lengthBytes());
            if (document.length < description.lengthBytes() || gzip.read() >= 0) {
                throw new MalformedMessageException(
                        "the document does not have the stated length of "
                                + description.lengthBytes()
                                + " bytes");
            }
            return document;
        } catch (IOException e) {
            throw new MalformedMessageException("the document cannot be decompressed", e);
        }
    }

    private static long computeChecksum(byte[] content) {
        CRC32 checksum = new CRC32();
        checksum.update(content);
        return checksum.getValue();
    }
}
