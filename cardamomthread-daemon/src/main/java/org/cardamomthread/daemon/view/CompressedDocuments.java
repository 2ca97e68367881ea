package org.cardamomthread.daemon.view;

import java.util.Optional;
import java.util.TreeMap;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.daemon.control.TrafficReplica;

/**
 * Caches the compressed traffic documents of a control node.
 *
 * <p>Invariants: each version is compressed once, and only the two newest are kept, so that a
 * gateway can finish the transfer of the one before. Not thread-safe.
 */
final class CompressedDocuments {

    private static final int MAX_VERSIONS = 2;

    private final TrafficReplica replica;
    private final TreeMap<Long, CompressedDocument> documents = new TreeMap<>();

    /** Creates an empty cache of the documents of a replica. */
    CompressedDocuments(TrafficReplica replica) {
        this.replica = replica;
    }

    /** Returns the document of a version, or empty if it is neither cached nor the newest. */
    Optional<CompressedDocument> find(long version) {
        TrafficState state = replica.getState();
        if (version > 0 && version == state.getDocumentVersion()) {
            return Optional.of(compressOnce(state));
        }
        return Optional.ofNullable(documents.get(version));
    }

    /** Returns the newest document, or empty if it is older than the given version. */
    Optional<CompressedDocument> findNewest(long minVersion) {
        long newestVersion = replica.getState().getDocumentVersion();
        return newestVersion >= minVersion ? find(newestVersion) : Optional.empty();
    }

    int count() {
        return documents.size();
    }

    private CompressedDocument compressOnce(TrafficState state) {
        CompressedDocument document =
                documents.computeIfAbsent(
                        state.getDocumentVersion(),
                        version -> CompressedDocument.compress(version, state.getDocument()));
        while (documents.size() > MAX_VERSIONS) {
            documents.pollFirstEntry();
        }
        return document;
    }
}
