package org.cardamomthread.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.SealedFrame;

/**
 * Verifies the sequence number and the authentication code of the frames of one direction.
 *
 * <p>Invariant: each frame of the sender is returned at most once and in order. Not thread-safe.
 */
final class FrameOpener {

    private final HmacSha256 hmac;
    private long nextSequence;

    FrameOpener(byte[] directionKey) {
        hmac = new HmacSha256(directionKey);
    }

    Frame open(SealedFrame sealed) throws FrameException {
        if (sealed.getSequence() != nextSequence) {
            throw new FrameException(
                    "frame "
                            + sealed.getSequence()
                            + " arrived but frame "
                            + nextSequence
                            + " was expected: frames were lost, replayed or reordered, and"
                            + " the connection is closed");
        }
        byte[] bytes = sealed.getFrame().toByteArray();
        byte[] tag = hmac.compute(FrameSealer.sequenceBytes(nextSequence), bytes);
        if (!MessageDigest.isEqual(tag, sealed.getTag().toByteArray())) {
            throw new FrameException(
                    "frame "
                            + nextSequence
                            + " has an invalid authentication code: it was modified in"
                            + " transit and the connection is closed");
        }
        nextSequence++;
        try {
            return Frame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new FrameException(
                    "frame "
                            + (nextSequence - 1)
                            + " is not a valid Frame message ("
                            + e.getMessage()
                            + "): run compatible releases on both nodes");
        }
    }
}
