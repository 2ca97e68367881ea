package org.cardamomthread.daemon.quarantine;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.stream.Stream;
import org.cardamomthread.core.hash.RendezvousHash;
import org.cardamomthread.core.id.Identifiers;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.id.ServiceId;
import org.cardamomthread.daemon.generated.AnsweredBlocksQuery;
import org.cardamomthread.daemon.generated.PromptBlockEvidence;
import org.cardamomthread.daemon.generated.PromptBlockEvidenceBatch;
import org.cardamomthread.daemon.generated.PromptBlockRequest;
import org.cardamomthread.daemon.generated.PromptBlockResponse;
import org.cardamomthread.daemon.generated.PromptBlockTrialRequest;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.policy.quarantine.PromptPartKey;
import org.cardamomthread.policy.quarantine.TrialDecision;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;

/**
 * Asks other nodes for trials and for what they saw answered, and responds to such requests.
 *
 * <p>All nodes that know the same live nodes ask the same one for the trials of a block. Evidence
 * of one sender is applied in its order, each item once. Thread-safe.
 */
final class PromptBlockExchange {

    /** The topic of messages about prompt blocks. */
    static final PeerTopic TOPIC = new PeerTopic(25, "prompt-blocks");

    /** Time after which a node that did not respond is no longer waited for. */
    static final long TIMEOUT_MS = 500;

    private static final long UNREACHABLE_RETRY_AFTER_MS = 1_000;

    private final NodeId self;
    private final PeerTransport transport;
    private final PromptBlockQuarantine quarantine;
    private final DecisionLog log;
    private final Map<NodeId, AppliedEvidence> appliedBySender = new HashMap<>();
    private volatile List<Peer> peers = List.of();

    /** Tells which items of a sender were applied last. */
    private record AppliedEvidence(long incarnation, long sequence) {}

    PromptBlockExchange(
            NodeId self,
            PeerTransport transport,
            PromptBlockQuarantine quarantine,
            DecisionLog log) {
        this.self = self;
        this.transport = transport;
        this.quarantine = quarantine;
        this.log = log;
    }

    /** Starts to respond to other nodes. */
    void start() {
        transport.register(TOPIC, this::handle);
    }

    /** Sets the other live nodes. */
    void setPeers(List<Peer> newPeers) {
        peers = List.copyOf(newPeers);
    }

    /**
     * Asks the responsible node whether a request with quarantined blocks may be sent.
     *
     * @param keys the quarantined blocks, in the order of the prompt
     * @param trial identifies the request
     * @param callback receives the decision
     * @param onNoResponse called before the decision if the node may have granted a trial and its
     *     response did not arrive
     */
    void requestTrial(
            List<PromptPartKey> keys,
            String trial,
            Consumer<TrialDecision> callback,
            Runnable onNoResponse) {
        NodeId owner = findOwner(keys.get(0));
        if (owner.equals(self)) {
            TrialDecision decision = quarantine.decide(keys, trial);
            callback.accept(decision);
            return;
        }
        PromptBlockTrialRequest.Builder request =
                PromptBlockTrialRequest.newBuilder()
                        .setTrial(trial)
                        .addAllQuarantined(PromptBlockCodec.encodeAll(quarantine.list(keys)));
        send(owner, PromptBlockRequest.newBuilder().setTrial(request).build())
                .handle(
                        (response, failure) -> {
                            if (failure == null) {
                                return readDecision(response);
                            }
                            logNoResponse(owner, "trial", failure);
                            onNoResponse.run();
                            return TrialDecision.rejected(UNREACHABLE_RETRY_AFTER_MS);
                        })
                .thenAccept(callback);
    }

    /**
     * Asks the other nodes under how many leading blocks of a prompt they saw answers.
     *
     * @param prompt the blocks of the prompt
     * @param callback receives the highest number, 0 if no node responded
     */
    void queryAnswered(PromptBlocks prompt, IntConsumer callback) {
        AnsweredBlocksQuery.Builder query =
                AnsweredBlocksQuery.newBuilder().setService(prompt.service().value());
        for (int i = 0; i < prompt.size(); i++) {
            query.addBlocks(prompt.hash(i));
        }
        PromptBlockRequest request = PromptBlockRequest.newBuilder().setAnswered(query).build();
        List<CompletableFuture<Integer>> counts = new ArrayList<>();
        for (Peer peer : peers) {
            counts.add(
                    send(peer.node(), request)
                            .handle((response, failure) -> readCount(peer, response, failure)));
        }
        CompletableFuture.allOf(counts.toArray(new CompletableFuture<?>[0]))
                .thenRun(
                        () ->
                                callback.accept(
                                        counts.stream()
                                                .mapToInt(CompletableFuture::join)
                                                .max()
                                                .orElse(0)));
    }

    private NodeId findOwner(PromptPartKey key) {
        List<NodeId> nodes =
                Stream.concat(Stream.of(self), peers.stream().map(Peer::node)).toList();
        return RendezvousHash.choose(key.service() + "/" + key.part(), nodes, NodeId::value)
                .orElse(self);
    }

    private CompletableFuture<PromptBlockResponse> send(NodeId to, PromptBlockRequest request) {
        return transport
                .request(to, TOPIC, request.toByteArray(), Duration.ofMillis(TIMEOUT_MS))
                .thenApply(PromptBlockExchange::parseResponse);
    }

    private static PromptBlockResponse parseResponse(byte[] payload) {
        try {
            return PromptBlockResponse.parseFrom(payload);
        } catch (InvalidProtocolBufferException failure) {
            throw new IllegalStateException("malformed response about prompt blocks", failure);
        }
    }

    private TrialDecision readDecision(PromptBlockResponse response) {
        quarantine.merge(PromptBlockCodec.decodeAll(response.getQuarantinedList()));
        return response.getPermitted()
                ? TrialDecision.TRIAL
                : TrialDecision.rejected(response.getRetryAfterMs());
    }

    private int readCount(Peer peer, PromptBlockResponse response, Throwable failure) {
        if (failure != null) {
            logNoResponse(peer.node(), "answered blocks", failure);
            return 0;
        }
        return response.getAnsweredBlocks();
    }

    private void logNoResponse(NodeId node, String request, Throwable failure) {
        log.log(
                "prompt-part-request-failed",
                "node",
                node,
                "request",
                request,
                "detail",
                failure.getMessage());
    }

    private CompletionStage<byte[]> handle(NodeId from, byte[] payload) {
        PromptBlockRequest request;
        try {
            request = PromptBlockRequest.parseFrom(payload);
        } catch (InvalidProtocolBufferException failure) {
            return CompletableFuture.failedFuture(failure);
        }
        return CompletableFuture.completedFuture(respond(from, request).toByteArray());
    }

    private PromptBlockResponse respond(NodeId from, PromptBlockRequest request) {
        return switch (request.getContentCase()) {
            case EVIDENCE -> {
                applyBatch(from, request.getEvidence());
                yield PromptBlockResponse.getDefaultInstance();
            }
            case ANSWERED -> countAnswered(request.getAnswered());
            case TRIAL -> decide(request.getTrial());
            default -> PromptBlockResponse.getDefaultInstance();
        };
    }

    private PromptBlockResponse countAnswered(AnsweredBlocksQuery query) {
        if (!Identifiers.isValid(query.getService())) {
            return PromptBlockResponse.getDefaultInstance();
        }
        PromptBlocks prompt =
                PromptBlocks.ofHashes(new ServiceId(query.getService()), query.getBlocksList());
        return PromptBlockResponse.newBuilder()
                .setAnsweredBlocks(quarantine.countAnswered(prompt))
                .build();
    }

    private PromptBlockResponse decide(PromptBlockTrialRequest request) {
        List<PromptPartKey> keys =
                request.getQuarantinedList().stream()
                        .flatMap(block -> PromptBlockCodec.decode(block.getId()).stream())
                        .toList();
        quarantine.merge(PromptBlockCodec.decodeAll(request.getQuarantinedList()));
        TrialDecision decision = quarantine.decide(keys, request.getTrial());
        return PromptBlockResponse.newBuilder()
                .setPermitted(decision.maySend())
                .setRetryAfterMs(decision.retryAfterMs())
                .addAllQuarantined(PromptBlockCodec.encodeAll(quarantine.list(keys)))
                .build();
    }

    private synchronized void applyBatch(NodeId from, PromptBlockEvidenceBatch batch) {
        AppliedEvidence applied = appliedBySender.get(from);
        long sequence =
                applied == null || applied.incarnation() != batch.getSenderIncarnation()
                        ? 0
                        : applied.sequence();
        if (batch.getQuarantinedCount() > 0) {
            quarantine.merge(PromptBlockCodec.decodeAll(batch.getQuarantinedList()));
        }
        for (PromptBlockEvidence item : batch.getItemsList()) {
            if (item.getSequence() > sequence) {
                sequence = item.getSequence();
                PromptBlockCodec.decode(item.getId()).ifPresent(key -> apply(key, item));
            }
        }
        appliedBySender.put(from, new AppliedEvidence(batch.getSenderIncarnation(), sequence));
    }

    private void apply(PromptPartKey key, PromptBlockEvidence item) {
        switch (item.getKind()) {
            case LOST -> quarantine.recordLoss(key, item.getEndpoint(), item.getVouched());
            case ANSWERED -> quarantine.recordAnswer(key);
            case TRIAL_RELEASED -> quarantine.releaseTrial(key, item.getTrial());
            default ->
                    log.log(
                            "prompt-part-evidence-ignored",
                            "kind",
                            item.getKindValue(),
                            "part",
                            key.part());
        }
    }
}
