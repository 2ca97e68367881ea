package org.cardamomthread.transport;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import org.cardamomthread.transport.generated.Accepted;
import org.cardamomthread.transport.generated.Failure;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.OneWay;
import org.cardamomthread.transport.generated.Ping;
import org.cardamomthread.transport.generated.Pong;
import org.cardamomthread.transport.generated.Request;
import org.cardamomthread.transport.generated.Response;

/**
 * Factory methods for the frames of the peer protocol.
 *
 * <p>Stateless and thread-safe.
 */
final class Frames {

    static final Frame PING = Frame.newBuilder().setPing(Ping.getDefaultInstance()).build();
    static final Frame PONG = Frame.newBuilder().setPong(Pong.getDefaultInstance()).build();
    static final Frame ACCEPTED =
            Frame.newBuilder().setAccepted(Accepted.getDefaultInstance()).build();

    private static final int MAX_FAILURE_MESSAGE_LENGTH = 150;

    private Frames() {}

    static Frame oneWay(QueuedMessage message) {
        OneWay oneWay =
                OneWay.newBuilder()
                        .setTopic(message.topic().number())
                        .setPayload(wrap(message.payload()))
                        .build();
        return Frame.newBuilder().setOneWay(oneWay).build();
    }

    static Frame request(long id, QueuedMessage message) {
        Request request =
                Request.newBuilder()
                        .setId(id)
                        .setTopic(message.topic().number())
                        .setPayload(wrap(message.payload()))
                        .build();
        return Frame.newBuilder().setRequest(request).build();
    }

    static Frame response(long id, byte[] payload) {
        Response response = Response.newBuilder().setId(id).setPayload(wrap(payload)).build();
        return Frame.newBuilder().setResponse(response).build();
    }

    static Frame failure(long id, Failure.Kind kind, String message) {
        String truncated =
                message.substring(0, Math.min(message.length(), MAX_FAILURE_MESSAGE_LENGTH));
        Failure failure =
                Failure.newBuilder().setId(id).setKind(kind).setMessage(truncated).build();
        return Frame.newBuilder().setFailure(failure).build();
    }

    /** Fails a request according to the failure that the peer reported. */
    static void fail(PendingRequest request, Failure failure) {
        if (failure.getKind() == Failure.Kind.NOT_HANDLED) {
            request.failUnreachable(failure.getMessage());
        } else {
            request.failUnknown("the peer's handler failed: " + failure.getMessage());
        }
    }

    private static ByteString wrap(byte[] payload) {
        return UnsafeByteOperations.unsafeWrap(payload);
    }
}
