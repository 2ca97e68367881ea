package org.cardamomthread.daemon.view;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.TimeSource;
import org.cardamomthread.daemon.concurrent.ControlThread;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.transport.PeerTopic;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves the parts of compressed traffic documents to gateways.
 *
 * <p>Invariants: at most {@link #MAX_TRANSFERS} gateways receive parts at a time, and each has at
 * most one part on its way, so that parts delay other responses on this node's link little. The
 * others wait in the order of their first requests. All state is confined to the control thread.
 */
public final class DocumentServer {

    /** The topic of the gateways' requests for parts. */
    static final PeerTopic TOPIC = new PeerTopic(26, "view-document");

    /** Interval in which {@link #expire} is to be called, in milliseconds. */
    static final long EXPIRY_INTERVAL_MS = 50;

    /** Maximum size of a part: at 7 Mbit/s it delays other responses by 37 ms. */
    static final int MAX_PART_BYTES = 32 * 1024;

    /**
     * Number of gateways that receive parts at a time: 256 KiB on their way delay other responses
     * by 120 ms at 17.5 Mbit/s, and four of them suffice to use such a link fully.
     */
    static final int MAX_TRANSFERS = 8;

    /** Time without a request after which a transfer no longer counts: a gateway's timeout. */
    static final long TRANSFER_TIMEOUT_MS = ViewClient.REQUEST_TIMEOUT.toMillis();

    /** Time for which a request waits for its turn; less than its timeout. */
    static final long MAX_WAIT_MS = 400;

    /** Time for which a gateway that was told to ask again keeps its place. */
    private static final long PLACE_RETENTION_MS = 2 * TRANSFER_TIMEOUT_MS;

    private static final Logger LOGGER = LoggerFactory.getLogger(DocumentServer.class);

    private final CompressedDocuments documents;
    private final Executor controlExecutor;
    private final TimeSource timeSource;
    private final Map<NodeId, Long> lastServedMs = new LinkedHashMap<>();
    private final Map<NodeId, WaitingRequest> waitingRequests = new LinkedHashMap<>();

    /** A request that waits for its turn, or has been answered and keeps its place. */
    private record WaitingRequest(
            DocumentPartRequest request, CompletableFuture<byte[]> response, long receivedMs) {}

    /**
     * Creates a server without transfers.
     *
     * @param documents the documents, accessed on the control thread only
     * @param controlExecutor runs tasks on the control thread
     * @param timeSource supplies monotonic time
     */
    DocumentServer(CompressedDocuments documents, Executor controlExecutor, TimeSource timeSource) {
        this.documents = documents;
        this.controlExecutor = controlExecutor;
        this.timeSource = timeSource;
    }

    /**
     * Starts to serve the documents of a control node.
     *
     * @param transport receives the requests
     * @param replica the local replica of the traffic state
     * @param controlThread runs the tasks of the server
     * @param timeSource supplies monotonic time
     */
    public static void start(
            PeerTransport transport,
            TrafficReplica replica,
            ControlThread controlThread,
            TimeSource timeSource) {
        DocumentServer server =
                new DocumentServer(
                        new CompressedDocuments(replica), controlThread::execute, timeSource);
        transport.register(TOPIC, server::handle);
        controlThread.scheduleWithFixedDelay(EXPIRY_INTERVAL_MS, server::expire);
    }

    /**
     * Handles a gateway's request for a part.
     *
     * @param from the gateway that sent it
     * @param payload the encoded {@link DocumentPartRequest}
     * @return completes with the encoded {@link DocumentPart}
     */
    CompletionStage<byte[]> handle(NodeId from, byte[] payload) {
        CompletableFuture<byte[]> response = new CompletableFuture<>();
        DocumentPartRequest request;
        try {
            request = DocumentPartCodec.decodeRequest(payload);
        } catch (MalformedMessageException e) {
            LOGGER.warn("received an unreadable request for a document part from {}", from, e);
            response.complete(encode(DocumentPart.Outcome.NOT_HELD));
            return response;
        }
        controlExecutor.execute(
                () -> {
                    try {
                        accept(from, request, response);
                    } catch (RuntimeException | Error e) {
                        response.completeExceptionally(e);
                        throw e;
                    }
                });
        return response;
    }

    /** Ends transfers and waits that have exceeded their time. Runs on the control thread. */
    void expire() {
        long nowMs = timeSource.monotonicMs();
        lastServedMs.values().removeIf(servedMs -> nowMs - servedMs >= TRANSFER_TIMEOUT_MS);
        for (WaitingRequest waiting : waitingRequests.values()) {
            if (nowMs - waiting.receivedMs() >= MAX_WAIT_MS) {
                waiting.response().complete(encode(DocumentPart.Outcome.DELAYED));
            }
        }
        waitingRequests
                .values()
                .removeIf(
                        waiting ->
                                nowMs - waiting.receivedMs() >= MAX_WAIT_MS + PLACE_RETENTION_MS);
        serveWaiting();
    }

    private void accept(
            NodeId from, DocumentPartRequest request, CompletableFuture<byte[]> response) {
        Optional<CompressedDocument> document = find(request);
        int endOffset = document.map(found -> found.content().size()).orElse(0);
        if (request.offset() >= endOffset) {
            endTransfer(from);
            response.complete(
                    encode(
                            document.isPresent() && request.offset() == endOffset
                                    ? DocumentPart.Outcome.INCLUDED
                                    : DocumentPart.Outcome.NOT_HELD));
            return;
        }
        if (lastServedMs.containsKey(from)) {
            serve(from, document.get(), request, response);
            return;
        }
        WaitingRequest replaced =
                waitingRequests.put(
                        from, new WaitingRequest(request, response, timeSource.monotonicMs()));
        if (replaced != null) {
            replaced.response().complete(encode(DocumentPart.Outcome.DELAYED));
        }
        serveWaiting();
    }

    private void endTransfer(NodeId gateway) {
        lastServedMs.remove(gateway);
        WaitingRequest waiting = waitingRequests.remove(gateway);
        if (waiting != null) {
            waiting.response().complete(encode(DocumentPart.Outcome.DELAYED));
        }
        serveWaiting();
    }

    private void serveWaiting() {
        Iterator<Map.Entry<NodeId, WaitingRequest>> entries = waitingRequests.entrySet().iterator();
        while (lastServedMs.size() < MAX_TRANSFERS && entries.hasNext()) {
            Map.Entry<NodeId, WaitingRequest> entry = entries.next();
            WaitingRequest waiting = entry.getValue();
            if (waiting.response().isDone()) {
                continue;
            }
            entries.remove();
            Optional<CompressedDocument> document = find(waiting.request());
            if (document.isPresent()) {
                serve(entry.getKey(), document.get(), waiting.request(), waiting.response());
            } else {
                waiting.response().complete(encode(DocumentPart.Outcome.NOT_HELD));
            }
        }
    }

    private void serve(
            NodeId gateway,
            CompressedDocument document,
            DocumentPartRequest request,
            CompletableFuture<byte[]> response) {
        lastServedMs.put(gateway, timeSource.monotonicMs());
        int offset = request.offset();
        int endOffset =
                Math.min(
                        document.content().size(),
                        offset + Math.min(request.maxBytes(), MAX_PART_BYTES));
        DocumentPart part =
                new DocumentPart(
                        DocumentPart.Outcome.INCLUDED,
                        document.description(),
                        offset,
                        document.content().substring(offset, endOffset));
        response.complete(DocumentPartCodec.encode(part));
    }

    /**
     * Returns the document in the form of which the gateway holds the beginning, or the newest one
     * if it holds nothing: under a stream of documents, the one asked for may be gone by its turn.
     */
    private Optional<CompressedDocument> find(DocumentPartRequest request) {
        boolean isBeginning = request.offset() == 0 && request.version() > 0;
        Optional<CompressedDocument> document =
                isBeginning
                        ? documents.findNewest(request.version())
                        : documents.find(request.version());
        return document.filter(found -> request.offset() >= 0 && request.maxBytes() > 0)
                .filter(
                        found ->
                                request.offset() == 0
                                        || request.checksum() == found.description().checksum());
    }

    private static byte[] encode(DocumentPart.Outcome outcome) {
        return DocumentPartCodec.encode(DocumentPart.without(outcome));
    }
}
