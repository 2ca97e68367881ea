package org.cardamomthread.daemon.view;

import com.google.protobuf.ByteString;

/**
 * The response to a {@link DocumentPartRequest}. Immutable.
 *
 * @param outcome whether a part is included; the other components are empty otherwise
 * @param document the document that the part belongs to
 * @param offset position of the part in the compressed document, in bytes
 * @param content the part, empty if the gateway has stated that it holds the document
 */
record DocumentPart(Outcome outcome, DocumentDescription document, int offset, ByteString content) {

    /** Whether a part is included; the ordinal numbers are those of the protocol. */
    enum Outcome {
        /** A part is included. */
        INCLUDED,
        /** Other gateways come first: ask again. */
        DELAYED,
        /** The node does not hold this document in this form. */
        NOT_HELD
    }

    /** Creates a response without a part. */
    static DocumentPart without(Outcome outcome) {
        return new DocumentPart(outcome, new DocumentDescription(0, 0, 0, 0), 0, ByteString.EMPTY);
    }
}
