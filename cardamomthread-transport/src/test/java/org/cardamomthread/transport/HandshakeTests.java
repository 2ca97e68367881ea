package org.cardamomthread.transport;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.transport.generated.Challenge;
import org.cardamomthread.transport.generated.Confirmation;
import org.cardamomthread.transport.generated.Frame;
import org.cardamomthread.transport.generated.SealedFrame;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the handshake and the authentication of frames without a network. */
public class HandshakeTests {

    private static final byte[] KEY = "a key of the deployment".getBytes(UTF_8);
    private static final byte[] OTHER_KEY = "a key of another deployment".getBytes(UTF_8);
    private static final PeerIdentity A = new PeerIdentity(new NodeId("node-a"), 3);
    private static final PeerIdentity B = new PeerIdentity(new NodeId("node-b"), 5);

    private Session sessionOfA;
    private Session sessionOfB;

    @BeforeMethod
    public void connect() throws HandshakeException {
        InitiatorHandshake initiator = initiator(KEY, B.node());
        AcceptorHandshake acceptor = acceptor(KEY, B);
        sessionOfB = acceptor.accept(initiator.confirm(acceptor.challenge(initiator.hello())));
        sessionOfA = initiator.session();
    }

    @Test
    public void givesBothSidesTheIdentityOfTheOther() {
        assertEquals(sessionOfA.peer(), B);
        assertEquals(sessionOfB.peer(), A);
    }

    @Test
    public void passesFramesInBothDirections() throws FrameException {
        assertEquals(sessionOfB.opener().open(sessionOfA.sealer().seal(Frames.PING)), Frames.PING);
        assertEquals(sessionOfA.opener().open(sessionOfB.sealer().seal(Frames.PONG)), Frames.PONG);
    }

    @DataProvider
    public Object[][] rejectedAcceptors() {
        return new Object[][] {
            {acceptor(OTHER_KEY, B), B.node(), "set the same one on all nodes"},
            {acceptor(KEY, B), new NodeId("node-c"), "correct its address"},
            {acceptor(KEY, A), A.node(), "another node"},
        };
    }

    @Test(dataProvider = "rejectedAcceptors")
    public void rejectsAnotherKeyOrNode(AcceptorHandshake acceptor, NodeId target, String remedy) {
        InitiatorHandshake initiator = initiator(KEY, target);
        HandshakeException failure =
                expectThrows(
                        HandshakeException.class,
                        () -> initiator.confirm(acceptor.challenge(initiator.hello())));
        assertEquals(failure.getMessage().contains(remedy), true, failure.getMessage());
    }

    @Test
    public void rejectsAnInitiatorWithAnotherKey() throws HandshakeException {
        AcceptorHandshake acceptor = acceptor(KEY, B);
        InitiatorHandshake initiator = initiator(KEY, B.node());
        Challenge challenge = acceptor.challenge(initiator.hello());
        HandshakeProof forged =
                new HandshakeProof(OTHER_KEY, initiator.hello(), challenge.getParameters());
        Confirmation confirmation =
                Confirmation.newBuilder().setProof(forged.initiatorProof()).build();
        assertThrows(HandshakeException.class, () -> acceptor.accept(confirmation));
    }

    @Test
    public void rejectsTheReflectedProofOfTheAcceptor() throws HandshakeException {
        AcceptorHandshake acceptor = acceptor(KEY, B);
        Challenge challenge = acceptor.challenge(initiator(KEY, B.node()).hello());
        Confirmation reflected = Confirmation.newBuilder().setProof(challenge.getProof()).build();
        assertThrows(HandshakeException.class, () -> acceptor.accept(reflected));
    }

    @Test
    public void rejectsTheConfirmationOfAnEarlierHandshake() throws HandshakeException {
        InitiatorHandshake initiator = initiator(KEY, B.node());
        Confirmation earlier = initiator.confirm(acceptor(KEY, B).challenge(initiator.hello()));
        AcceptorHandshake later = new AcceptorHandshake(KEY, B, nonce((byte) 9));
        later.challenge(initiator.hello());
        assertThrows(HandshakeException.class, () -> later.accept(earlier));
    }

    @DataProvider
    public Object[][] tamperedFrames() {
        SealedFrame first = newSealerOfA().seal(Frames.PING);
        return new Object[][] {
            {"tag", first.toBuilder().setTag(ByteString.copyFrom(new byte[32])).build()},
            {"frame", first.toBuilder().setFrame(Frames.PONG.toByteString()).build()},
            {"sequence", first.toBuilder().setSequence(1).build()},
            {"emptied", SealedFrame.getDefaultInstance()},
        };
    }

    @Test(dataProvider = "tamperedFrames")
    public void rejectsATamperedFrame(String field, SealedFrame tampered) {
        assertThrows(FrameException.class, () -> sessionOfB.opener().open(tampered));
    }

    @Test
    public void rejectsAReplayedFrame() throws FrameException {
        SealedFrame first = sessionOfA.sealer().seal(Frames.PING);
        sessionOfB.opener().open(first);
        assertThrows(FrameException.class, () -> sessionOfB.opener().open(first));
        SealedFrame withNextSequence = first.toBuilder().setSequence(1).build();
        assertThrows(FrameException.class, () -> sessionOfB.opener().open(withNextSequence));
    }

    @Test
    public void rejectsAFrameReflectedToItsSender() {
        SealedFrame sent = sessionOfA.sealer().seal(Frames.PING);
        assertThrows(FrameException.class, () -> sessionOfA.opener().open(sent));
    }

    @Test
    public void rejectsAFrameAfterALostOne() {
        Frame frame = Frames.PING;
        sessionOfA.sealer().seal(frame);
        SealedFrame second = sessionOfA.sealer().seal(frame);
        assertThrows(FrameException.class, () -> sessionOfB.opener().open(second));
    }

    private FrameSealer newSealerOfA() {
        try {
            connect();
        } catch (HandshakeException e) {
            throw new IllegalStateException(e);
        }
        return sessionOfA.sealer();
    }

    private static InitiatorHandshake initiator(byte[] key, NodeId target) {
        return new InitiatorHandshake(key, A, target, nonce((byte) 1));
    }

    private static AcceptorHandshake acceptor(byte[] key, PeerIdentity self) {
        return new AcceptorHandshake(key, self, nonce((byte) 2));
    }

    private static byte[] nonce(byte value) {
        byte[] nonce = new byte[HandshakeProof.NONCE_BYTES];
        Arrays.fill(nonce, value);
        return nonce;
    }
}
