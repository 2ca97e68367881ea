package org.cardamomthread.daemon.view;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.cardamomthread.daemon.dialect.MalformedMessageException;

/** Encodes the messages of {@code document_part.proto}. Stateless. */
final class DocumentPartCodec {

    private static final DocumentPart.Outcome[] OUTCOMES = DocumentPart.Outcome.values();

    private DocumentPartCodec() {}

    /** Writes the fields of a message. */
    @FunctionalInterface
    private interface FieldWriter {
        void write(CodedOutputStream output) throws IOException;
    }

    static byte[] encode(DocumentPartRequest request) {
        return encode(
                output -> {
                    output.writeInt64(1, request.version());
                    output.writeInt64(2, request.checksum());
                    output.writeInt32(3, request.offset());
                    output.writeInt32(4, request.maxBytes());
                });
    }

    static byte[] encode(DocumentPart part) {
        return encode(
                output -> {
                    output.writeEnum(1, part.outcome().ordinal());
                    output.writeInt64(2, part.document().version());
                    output.writeInt32(3, part.document().lengthBytes());
                    output.writeInt32(4, part.document().compressedBytes());
                    output.writeInt64(5, part.document().checksum());
                    output.writeInt32(6, part.offset());
                    output.writeBytes(7, part.content());
                });
    }

    /**
     * Decodes a request.
     *
     * @throws MalformedMessageException if the payload is not an encoded message
     */
    static DocumentPartRequest decodeRequest(byte[] payload) throws MalformedMessageException {
        long version = 0;
        long checksum = 0;
        int offset = 0;
        int maxBytes = 0;
        try {
            CodedInputStream input = CodedInputStream.newInstance(payload);
            for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
                switch (WireFormat.getTagFieldNumber(tag)) {
                    case 1 -> version = input.readInt64();
                    case 2 -> checksum = input.readInt64();
                    case 3 -> offset = input.readInt32();
                    case 4 -> maxBytes = input.readInt32();
                    default -> input.skipField(tag);
                }
            }
        } catch (IOException e) {
            throw new MalformedMessageException("the request for a part is unreadable", e);
        }
        return new DocumentPartRequest(version, checksum, offset, maxBytes);
    }

    /**
     * Decodes a part.
     *
     * @throws MalformedMessageException if the payload is not an encoded message
     */
    static DocumentPart decodePart(byte[] payload) throws MalformedMessageException {
        int outcome = 0;
        long version = 0;
        int lengthBytes = 0;
        int compressedBytes = 0;
        long checksum = 0;
        int offset = 0;
        ByteString content = ByteString.EMPTY;
        try {
            CodedInputStream input = CodedInputStream.newInstance(payload);
            for (int tag = input.readTag(); tag != 0; tag = input.readTag()) {
                switch (WireFormat.getTagFieldNumber(tag)) {
                    case 1 -> outcome = input.readEnum();
                    case 2 -> version = input.readInt64();
                    case 3 -> lengthBytes = input.readInt32();
                    case 4 -> compressedBytes = input.readInt32();
                    case 5 -> checksum = input.readInt64();
                    case 6 -> offset = input.readInt32();
                    case 7 -> content = input.readBytes();
                    default -> input.skipField(tag);
                }
            }
        } catch (IOException e) {
            throw new MalformedMessageException("the part is unreadable", e);
        }
        if (outcome < 0 || outcome >= OUTCOMES.length) {
            throw new MalformedMessageException("the outcome " + outcome + " is unknown");
        }
        return new DocumentPart(
                OUTCOMES[outcome],
                new DocumentDescription(version, lengthBytes, compressedBytes, checksum),
                offset,
                content);
    }

    private static byte[] encode(FieldWriter fields) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        try {
            fields.write(output);
            output.flush();
        } catch (IOException e) {
            throw new UncheckedIOException("encoding a message in memory failed", e);
        }
        return bytes.toByteArray();
    }
}
