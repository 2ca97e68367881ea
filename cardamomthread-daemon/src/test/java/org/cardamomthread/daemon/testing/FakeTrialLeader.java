package org.cardamomthread.daemon.testing;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.view.generated.TrialRequest;
import org.cardamomthread.daemon.view.generated.TrialResponse;
import org.cardamomthread.transport.PeerHandler;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.cardamomthread.transport.PeerUnreachableException;
import org.cardamomthread.transport.TransportStatus;

/** Records trial requests, which the test answers one by one. */
public final class FakeTrialLeader implements PeerTransport {

    /** The leader's node. */
    public static final NodeId NODE = new NodeId("leader");

    private final List<TrialRequest> requests = new ArrayList<>();
    private final List<CompletableFuture<byte[]>> responses = new ArrayList<>();

    public List<TrialRequest> getRequests() {
        return requests;
    }

    public void permit() {
        respond(TrialResponse.newBuilder().setPermitted(true).build());
    }

    public void reject(long retryAfterMs) {
        respond(TrialResponse.newBuilder().setRetryAfterMs(retryAfterMs).build());
    }

    /** Lets the last request time out. */
    public void loseResponse() {
        lastResponse().completeExceptionally(new PeerUnreachableException("timeout"));
    }

    private void respond(TrialResponse response) {
        lastResponse().complete(response.toByteArray());
    }

    private CompletableFuture<byte[]> lastResponse() {
        return responses.get(responses.size() - 1);
    }

    @Override
    public CompletableFuture<byte[]> request(
            NodeId to, PeerTopic topic, byte[] payload, Duration timeout) {
        try {
            requests.add(TrialRequest.parseFrom(payload));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the gateway sent an unreadable request", e);
        }
        responses.add(new CompletableFuture<>());
        return lastResponse();
    }

    @Override
    public void register(PeerTopic topic, PeerHandler handler) {
        throw new UnsupportedOperationException("only requests are recorded");
    }

    @Override
    public void setAddress(NodeId node, InetSocketAddress address) {
        throw new UnsupportedOperationException("only requests are recorded");
    }

    @Override
    public void send(NodeId to, PeerTopic topic, byte[] payload) {
        throw new UnsupportedOperationException("only requests are recorded");
    }

    @Override
    public TransportStatus status() {
        throw new UnsupportedOperationException("only requests are recorded");
    }

    @Override
    public void close() {
        // Nothing to release.
    }
}
