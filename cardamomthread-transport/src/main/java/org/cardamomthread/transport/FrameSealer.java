package org.cardamomthread.transport;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.nio.ByteBuffer;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.SealedFrame;

/**
 * Adds the sequence number and the authentication code to the frames of one direction.
 *
 * <p>Invariant: sequence numbers start at zero and increase by one. Not thread-safe.
 */
final class FrameSealer {

    private final HmacSha256 hmac;
    private long nextSequence;

    FrameSealer(byte[] directionKey) {
        hmac = new HmacSha256(directionKey);
    }

    SealedFrame seal(Frame frame) {
        byte[] bytes = frame.toByteArray();
        long sequence = nextSequence;
        nextSequence++;
        byte[] tag = hmac.compute(sequenceBytes(sequence), bytes);
        return SealedFrame.newBuilder()
                .setSequence(sequence)
                .setFrame(UnsafeByteOperations.unsafeWrap(bytes))
                .setTag(ByteString.copyFrom(tag))
                .build();
    }

    static byte[] sequenceBytes(long sequence) {
        return ByteBuffer.allocate(Long.BYTES).putLong(sequence).array();
    }
}
