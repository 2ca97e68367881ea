package org.cardamomthread.execution.claim;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.execution.generated.ClaimCommandMessage;
import org.cardamomthread.execution.generated.ClaimMessage;
import org.cardamomthread.execution.generated.CompleteMessage;
import org.cardamomthread.execution.generated.ExpireClaimsMessage;
import org.cardamomthread.execution.generated.MarkUnknownMessage;
import org.cardamomthread.execution.generated.ReleaseMessage;

/**
 * Command that changes the replicated claims. Times are wall-clock milliseconds of the proposer.
 *
 * <p>Implementations are immutable and thread-safe.
 */
public sealed interface ClaimCommand {

    /**
     * Requests the exclusive right to dispatch a call.
     *
     * @param key account, service and idempotency key of the call
     * @param requestDigest digest of the request; the same for each resend
     * @param gateway node that would dispatch the call
     * @param attemptId unique identifier of the attempt; unchanged when the command is proposed
     *     again
     * @param atMs time of the request
     */
    record Claim(
            ClaimKey key, ByteString requestDigest, NodeId gateway, String attemptId, long atMs)
            implements ClaimCommand {}

    /**
     * Releases a claim because no byte of the call was or will be sent.
     *
     * @param key account, service and idempotency key of the call
     * @param attemptId attempt that releases the claim
     * @param atMs time of the proposal
     */
    record Release(ClaimKey key, String attemptId, long atMs) implements ClaimCommand {}

    /**
     * Records the response of a completed call.
     *
     * @param key account, service and idempotency key of the call
     * @param attemptId attempt that received the response
     * @param response response to store
     * @param atMs time of the proposal
     */
    record Complete(ClaimKey key, String attemptId, StoredResponse response, long atMs)
            implements ClaimCommand {}

    /**
     * Records that the call may have been executed.
     *
     * @param key account, service and idempotency key of the call
     * @param attemptId attempt whose outcome is unknown
     * @param atMs time of the proposal
     */
    record MarkUnknown(ClaimKey key, String attemptId, long atMs) implements ClaimCommand {}

    /**
     * Advances the time by which claims expire. The leader proposes this command about once a
     * minute.
     *
     * @param atMs wall-clock time of the proposer
     */
    record Expire(long atMs) implements ClaimCommand {}

    /**
     * Serializes the command.
     *
     * @return the content of the log entry to propose
     */
    default byte[] toBytes() {
        ClaimCommandMessage.Builder message = ClaimCommandMessage.newBuilder();
        if (this instanceof Claim claim) {
            message.setClaim(
                    ClaimMessage.newBuilder()
                            .setKey(claim.key().toMessage())
                            .setRequestDigest(claim.requestDigest())
                            .setGateway(claim.gateway().value())
                            .setAttemptId(claim.attemptId())
                            .setClaimedAtMs(claim.atMs()));
        } else if (this instanceof Release release) {
            message.setRelease(
                    ReleaseMessage.newBuilder()
                            .setKey(release.key().toMessage())
                            .setAttemptId(release.attemptId())
                            .setAtMs(release.atMs()));
        } else if (this instanceof Complete complete) {
            message.setComplete(
                    CompleteMessage.newBuilder()
                            .setKey(complete.key().toMessage())
                            .setAttemptId(complete.attemptId())
                            .setAnswer(complete.response().toMessage())
                            .setAtMs(complete.atMs()));
        } else if (this instanceof MarkUnknown unknown) {
            message.setMarkUnknown(
                    MarkUnknownMessage.newBuilder()
                            .setKey(unknown.key().toMessage())
                            .setAttemptId(unknown.attemptId())
                            .setAtMs(unknown.atMs()));
        } else if (this instanceof Expire expire) {
            message.setExpire(ExpireClaimsMessage.newBuilder().setAtMs(expire.atMs()));
        }
        return message.build().toByteArray();
    }

    /**
     * Deserializes a command.
     *
     * @param bytes the value that {@link #toBytes()} returned
     * @return the command in the log entry
     * @throws IllegalArgumentException if the bytes are not a valid command
     */
    static ClaimCommand parse(byte[] bytes) {
        ClaimCommandMessage message;
        try {
            message = ClaimCommandMessage.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException(
                    "the log entry is not a valid ClaimCommandMessage", e);
        }
        return switch (message.getContentCase()) {
            case CLAIM -> claim(message.getClaim());
            case RELEASE -> release(message.getRelease());
            case COMPLETE -> complete(message.getComplete());
            case MARK_UNKNOWN -> markUnknown(message.getMarkUnknown());
            case EXPIRE -> new Expire(message.getExpire().getAtMs());
            default ->
                    throw new IllegalArgumentException(
                            "the claim command message has no content or an unknown one");
        };
    }

    private static Claim claim(ClaimMessage message) {
        return new Claim(
                ClaimKey.fromMessage(message.getKey()),
                message.getRequestDigest(),
                new NodeId(message.getGateway()),
                message.getAttemptId(),
                message.getClaimedAtMs());
    }

    private static Release release(ReleaseMessage message) {
        return new Release(
                ClaimKey.fromMessage(message.getKey()), message.getAttemptId(), message.getAtMs());
    }

    private static Complete complete(CompleteMessage message) {
        return new Complete(
                ClaimKey.fromMessage(message.getKey()),
                message.getAttemptId(),
                StoredResponse.of(message.getAnswer()),
                message.getAtMs());
    }

    private static MarkUnknown markUnknown(MarkUnknownMessage message) {
        return new MarkUnknown(
                ClaimKey.fromMessage(message.getKey()), message.getAttemptId(), message.getAtMs());
    }
}
