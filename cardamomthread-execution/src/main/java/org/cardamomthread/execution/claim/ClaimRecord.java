package org.cardamomthread.execution.claim;

import com.google.protobuf.ByteString;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.execution.generated.ClaimRecordMessage;

/**
 * State of one claimed key. Immutable.
 *
 * @param requestDigest digest of the request; empty once expired
 * @param gateway node that holds the claim
 * @param attemptId attempt that holds the claim; empty once expired
 * @param claimedAtMs time of the claim, by the gateway's wall clock
 * @param state current state of the key
 * @param response stored response; present only when completed
 */
record ClaimRecord(
        ByteString requestDigest,
        NodeId gateway,
        String attemptId,
        long claimedAtMs,
        ClaimState state,
        Optional<StoredResponse> response) {

    ClaimRecord withState(ClaimState newState) {
        return new ClaimRecord(
                requestDigest, gateway, attemptId, claimedAtMs, newState, Optional.empty());
    }

    /**
     * Returns the record of an expired claim, which retains only that the key was used and how the
     * call ended.
     */
    ClaimRecord toExpired(ClaimState expiredState) {
        return new ClaimRecord(
                ByteString.EMPTY, gateway, "", claimedAtMs, expiredState, Optional.empty());
    }

    ClaimRecord toCompleted(StoredResponse newResponse) {
        return new ClaimRecord(
                requestDigest,
                gateway,
                attemptId,
                claimedAtMs,
                ClaimState.COMPLETED,
                Optional.of(newResponse));
    }

    ClaimRecordMessage toMessage(ClaimKey key) {
        ClaimRecordMessage.Builder message =
                ClaimRecordMessage.newBuilder()
                        .setKey(key.toMessage())
                        .setRequestDigest(requestDigest)
                        .setGateway(gateway.value())
                        .setAttemptId(attemptId)
                        .setClaimedAtMs(claimedAtMs)
                        .setState(state.name());
        response.ifPresent(value -> message.setAnswer(value.toMessage()));
        return message.build();
    }

    static ClaimRecord fromMessage(ClaimRecordMessage message) {
        return new ClaimRecord(
                message.getRequestDigest(),
                new NodeId(message.getGateway()),
                message.getAttemptId(),
                message.getClaimedAtMs(),
                ClaimState.valueOf(message.getState()),
                message.hasAnswer()
                        ? Optional.of(StoredResponse.of(message.getAnswer()))
                        : Optional.empty());
    }
}
