package org.cardamomthread.configuration.state;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.configuration.generated.CommandResult;
import org.cardamomthread.configuration.generated.OperationRecord;

/**
 * Remembers the first result of each of the most recent operations, in the order in which they were
 * applied.
 *
 * <p>Not thread-safe.
 */
final class OperationHistory {

    private final int maxOperations;
    private final Map<String, OperationRecord> records = new LinkedHashMap<>();

    OperationHistory(int maxOperations) {
        if (maxOperations < 1) {
            throw new IllegalArgumentException(
                    "maxOperations " + maxOperations + " must be at least 1");
        }
        this.maxOperations = maxOperations;
    }

    Optional<OperationRecord> find(String operationId) {
        return Optional.ofNullable(records.get(operationId));
    }

    void add(String operationId, ByteString fingerprint, CommandResult result) {
        records.put(
                operationId,
                OperationRecord.newBuilder()
                        .setOperationId(operationId)
                        .setFingerprint(fingerprint)
                        .setResult(result)
                        .build());
        if (records.size() > maxOperations) {
            Iterator<String> oldestIds = records.keySet().iterator();
            oldestIds.next();
            oldestIds.remove();
        }
    }

    List<OperationRecord> records() {
        return new ArrayList<>(records.values());
    }

    void restore(List<OperationRecord> restoredRecords) {
        records.clear();
        restoredRecords.forEach(operation -> records.put(operation.getOperationId(), operation));
    }
}
