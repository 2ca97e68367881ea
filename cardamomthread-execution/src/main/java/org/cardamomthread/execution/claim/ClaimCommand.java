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
 * Changes the claims through the replicated log. Times are wall-clock milliseconds of the proposer.
 *
 * <p>Implementations are immutable and safe for use by several threads.
 */
public sealed interface ClaimCommand {

    /**
     * Asks for the right to run a call.
     *
     * @param key the call
     * @param requestDigest digest of the request, the same for each resend
     * @param gateway the node that would dispatch it
     * @param attemptId unique to this try; a resent command carries the same one
     * @param atMs when it was asked
     */
    record Claim(
            ClaimKey key, ByteString requestDigest, NodeId gateway, String attemptId, long atMs)
            implements ClaimCommand {}

    /**
     * Gives a claim back, because no byte of the call was or will be sent.
     *
     * @param key the call
     * @param attemptId the try that gives up
     * @param atMs when
     */
    record Release(ClaimKey key, String attemptId, long atMs) implements ClaimCommand {}

    /**
     * Records the answer.
     *
     * @param key the call
     * @param attemptId the try that got it
     * @param answer the answer
     * @param atMs when
     */
    record Complete(ClaimKey key, String attemptId, StoredAnswer answer, long atMs)
            implements ClaimCommand {}

    /**
     * Records that the call may have run.
     *
     * @param key the call
     * @param attemptId the try in doubt
     * @param atMs when
     */
    record MarkUnknown(ClaimKey key, String attemptId, long atMs) implements ClaimCommand {}

    /**
     * Advances the time by which claims expire; to be proposed by the leader about once a minute.
     *
     * @param atMs the time of the proposer
     */
    record Expire(long atMs) implements ClaimCommand {}

    /**
     * Serialises the command.
     *
     * @return the bytes to propose
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
                            .setAnswer(complete.answer().toMessage())
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
     * Reads a command.
     *
     * @param bytes what {@link #toBytes()} returned
     * @return the command
     */
    static ClaimCommand parse(byte[] bytes) {
        ClaimCommandMessage message;
        try {
            message = ClaimCommandMessage.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the log entry must hold a claim command", e);
        }
        return switch (message.getContentCase()) {
            case CLAIM -> claim(message.getClaim());
            case RELEASE -> release(message.getRelease());
            case COMPLETE -> complete(message.getComplete());
            case MARK_UNKNOWN -> markUnknown(message.getMarkUnknown());
            case EXPIRE -> new Expire(message.getExpire().getAtMs());
            default -> throw new IllegalArgumentException("the claim command must have a content");
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
                StoredAnswer.of(message.getAnswer()),
                message.getAtMs());
    }

    private static MarkUnknown markUnknown(MarkUnknownMessage message) {
        return new MarkUnknown(
                ClaimKey.fromMessage(message.getKey()), message.getAttemptId(), message.getAtMs());
    }
}
