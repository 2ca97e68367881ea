package org.cardamomthread.transport;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.Handshake;
import org.cardamomthread.transport.generated.Request;
import org.cardamomthread.transport.generated.SealedFrame;

/**
 * A node that accepts connections and sends whatever bytes a test writes. Not thread-safe.
 *
 * <p>Each call blocks until its bytes have been read or written.
 */
final class ScriptedPeer implements AutoCloseable {

    private static final int TIMEOUT_MS = 10_000;

    private final ServerSocket listener;
    private final NodeId self;
    private final byte[] peerKey;
    private Socket socket;
    private Session session;

    ScriptedPeer(NodeId self, byte[] peerKey) throws IOException {
        this.self = self;
        this.peerKey = peerKey;
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        listener.setSoTimeout(TIMEOUT_MS);
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
    }

    /** Accepts a connection up to the end of the handshake; the link is not established yet. */
    void accept(long incarnation) throws IOException, HandshakeException {
        socket = listener.accept();
        socket.setSoTimeout(TIMEOUT_MS);
        AcceptorHandshake handshake =
                new AcceptorHandshake(
                        peerKey,
                        new PeerIdentity(self, incarnation),
                        new byte[HandshakeProof.NONCE_BYTES]);
        ByteString hello = Handshake.parseFrom(read()).getHello();
        Handshake challenge =
                Handshake.newBuilder().setChallenge(handshake.challenge(hello)).build();
        write(withLength(challenge.toByteArray()));
        session = handshake.accept(Handshake.parseFrom(read()).getConfirmation());
    }

    /** Accepts a connection and establishes the link. */
    void establish(long incarnation) throws IOException, HandshakeException {
        accept(incarnation);
        write(seal(Frames.ACCEPTED));
    }

    Request readRequest() throws IOException, FrameException {
        Frame frame = session.opener().open(SealedFrame.parseFrom(read()));
        return frame.hasRequest() ? frame.getRequest() : readRequest();
    }

    /** Returns a frame as it is sent, with the next sequence number. */
    byte[] seal(Frame frame) {
        return withLength(session.sealer().seal(frame).toByteArray());
    }

    /** Writes parts in one packet. */
    void write(byte[]... parts) throws IOException {
        ByteArrayOutputStream packet = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            packet.writeBytes(part);
        }
        socket.getOutputStream().write(packet.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Returns whether the other side has closed the connection. */
    boolean isClosedByPeer() throws IOException {
        try {
            while (true) {
                read();
            }
        } catch (EOFException closed) {
            return true;
        }
    }

    void disconnect() throws IOException {
        socket.close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        if (socket != null) {
            socket.close();
        }
    }

    private byte[] read() throws IOException {
        DataInputStream input = new DataInputStream(socket.getInputStream());
        byte[] bytes = new byte[input.readInt()];
        input.readFully(bytes);
        return bytes;
    }

    private static byte[] withLength(byte[] bytes) {
        return ByteBuffer.allocate(PeerChannel.LENGTH_BYTES + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .array();
    }
}
