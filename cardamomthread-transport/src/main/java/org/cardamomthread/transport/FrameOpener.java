package org.cardamomthread.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import java.security.MessageDigest;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.SealedFrame;

/**
 * Checks the sequence number and the authentication code of the frames of one direction.
 *
 * <p>Invariant: returns each frame of the sender at most once and in order. Not safe for use by
 * several threads.
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
                            + " arrived in place of frame "
                            + nextSequence
                            + ": the connection was tampered with and is closed");
        }
        byte[] bytes = sealed.getFrame().toByteArray();
        byte[] tag = hmac.compute(FrameSealer.sequenceBytes(nextSequence), bytes);
        if (!MessageDigest.isEqual(tag, sealed.getTag().toByteArray())) {
            throw new FrameException(
                    "frame "
                            + nextSequence
                            + " has a wrong authentication code: it was changed on the way and the"
                            + " connection is closed");
        }
        nextSequence++;
        try {
            return Frame.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw new FrameException(
                    "frame "
                            + (nextSequence - 1)
                            + " is not a Frame ("
                            + e.getMessage()
                            + "): run compatible releases on both nodes");
        }
    }
}
