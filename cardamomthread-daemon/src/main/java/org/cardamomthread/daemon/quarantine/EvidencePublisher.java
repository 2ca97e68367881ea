package org.cardamomthread.daemon.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.generated.PromptBlockEvidence;
import org.cardamomthread.daemon.generated.PromptBlockEvidenceBatch;
import org.cardamomthread.daemon.generated.PromptBlockRequest;
import org.cardamomthread.daemon.telemetry.DecisionLog;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;

/**
 * Sends this node's evidence on prompt blocks to all other live nodes, again and again until they
 * acknowledge it.
 *
 * <p>Invariants: at most {@value #MAX_ITEMS} items are held, for {@value #MAX_AGE_MS} ms; one batch
 * per node is in flight. A node that is new, or that missed items, first receives what this node
 * knows. Thread-safe.
 */
final class EvidencePublisher {

    static final int MAX_ITEMS = 1_024;
    static final long MAX_AGE_MS = 30_000;

    private static final int MAX_ITEMS_PER_BATCH = 256;

    private final long incarnation;
    private final PeerTopic topic;
    private final PeerTransport transport;
    private final PromptBlockQuarantine quarantine;
    private final TimeSource timeSource;
    private final DecisionLog log;
    private final Deque<PendingItem> items = new ArrayDeque<>();
    private final Map<NodeId, PeerProgress> progressByNode = new HashMap<>();
    private List<Peer> peers = List.of();
    private long lastSequence;

    /** An item that some nodes may not have acknowledged. */
    private record PendingItem(PromptBlockEvidence item, long addedAtMs) {}

    /** Holds what one incarnation of a node has acknowledged. */
    private static final class PeerProgress {
        private final long incarnation;
        private long acknowledged;
        private boolean isInFlight;
        private boolean needsSnapshot = true;

        PeerProgress(long incarnation, long acknowledged) {
            this.incarnation = incarnation;
            this.acknowledged = acknowledged;
        }
    }

    /** A batch that is about to be sent. */
    private record Batch(NodeId to, PeerProgress progress, long lastSequence, byte[] payload) {}

    EvidencePublisher(
            long incarnation,
            PeerTopic topic,
            PeerTransport transport,
            PromptBlockQuarantine quarantine,
            TimeSource timeSource,
            DecisionLog log) {
        this.incarnation = incarnation;
        this.topic = topic;
        this.transport = transport;
        this.quarantine = quarantine;
        this.timeSource = timeSource;
        this.log = log;
    }

    /** Adds an item to the evidence that is sent with the next flush. */
    synchronized void add(PromptBlockEvidence.Builder item) {
        lastSequence++;
        items.add(
                new PendingItem(item.setSequence(lastSequence).build(), timeSource.monotonicMs()));
        if (items.size() > MAX_ITEMS) {
            items.poll();
        }
    }

    /** Sets the other live nodes. */
    synchronized void setPeers(List<Peer> newPeers) {
        peers = List.copyOf(newPeers);
        progressByNode
                .keySet()
                .removeIf(node -> peers.stream().noneMatch(peer -> peer.node().equals(node)));
    }

    /** Sends a batch to each node that has not acknowledged all items and awaits no batch. */
    void flush() {
        List<Batch> batches = new ArrayList<>();
        synchronized (this) {
            long oldestMs = timeSource.monotonicMs() - MAX_AGE_MS;
            items.removeIf(pending -> pending.addedAtMs() < oldestMs);
            for (Peer peer : peers) {
                createBatch(peer).ifPresent(batches::add);
            }
        }
        batches.forEach(this::send);
    }

    private Optional<Batch> createBatch(Peer peer) {
        PeerProgress progress = progressByNode.get(peer.node());
        if (progress == null || progress.incarnation != peer.incarnation()) {
            progress = new PeerProgress(peer.incarnation(), lastSequence);
            progressByNode.put(peer.node(), progress);
        }
        if (progress.isInFlight) {
            return Optional.empty();
        }
        if (progress.acknowledged < lastSequence - items.size()) {
            progress.needsSnapshot = true;
            progress.acknowledged = lastSequence - items.size();
        }
        PromptBlockEvidenceBatch.Builder batch =
                PromptBlockEvidenceBatch.newBuilder().setSenderIncarnation(incarnation);
        if (progress.needsSnapshot) {
            batch.addAllQuarantined(PromptBlockCodec.encodeAll(quarantine.list()));
            progress.needsSnapshot = batch.getQuarantinedCount() > 0;
        }
        long acknowledged = progress.acknowledged;
        items.stream()
                .map(PendingItem::item)
                .filter(item -> item.getSequence() > acknowledged)
                .limit(MAX_ITEMS_PER_BATCH)
                .forEach(batch::addItems);
        if (batch.getItemsCount() == 0 && batch.getQuarantinedCount() == 0) {
            return Optional.empty();
        }
        progress.isInFlight = true;
        byte[] payload = PromptBlockRequest.newBuilder().setEvidence(batch).build().toByteArray();
        long lastSent = acknowledged + batch.getItemsCount();
        return Optional.of(new Batch(peer.node(), progress, lastSent, payload));
    }

    private void send(Batch batch) {
        transport
                .request(
                        batch.to(),
                        topic,
                        batch.payload(),
                        Duration.ofMillis(PromptBlockExchange.TIMEOUT_MS))
                .whenComplete((response, failure) -> finish(batch, failure));
    }

    private void finish(Batch batch, Throwable failure) {
        synchronized (this) {
            batch.progress().isInFlight = false;
            if (failure == null) {
                batch.progress().needsSnapshot = false;
                batch.progress().acknowledged = batch.lastSequence();
            }
        }
        if (failure == null) {
            flush();
        } else {
            log.log(
                    "prompt-part-evidence-not-delivered",
                    "node",
                    batch.to(),
                    "detail",
                    failure.getMessage());
        }
    }
}
