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
 * Remembers the first answer to each of the last operations, in the order in which they were
 * answered.
 *
 * <p>Confined to one thread.
 */
final class OperationHistory {

    private final int maxOperations;
    private final Map<String, OperationRecord> records = new LinkedHashMap<>();

    OperationHistory(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("capacity " + capacity + " must be at least 1");
        }
        this.maxOperations = capacity;
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
            Iterator<String> oldest = records.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    List<OperationRecord> records() {
        return new ArrayList<>(records.values());
    }

    void restore(List<OperationRecord> restored) {
        records.clear();
        restored.forEach(each -> records.put(each.getOperationId(), each));
    }
}
