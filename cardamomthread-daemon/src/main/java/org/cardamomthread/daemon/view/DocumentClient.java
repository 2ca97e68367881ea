package org.cardamomthread.daemon.view;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.transport.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fetches the newest traffic document in parts, one after another.
 *
 * <p>Each transfer asks a control node drawn at random, so that the links of all of them are used,
 * and the leader after any failure: it holds each document that it names.
 *
 * <p>Invariant: at most one request is awaited at a time. A failed request is repeated after a
 * delay, or when the next poll announces a document; what was received before is kept, also if
 * another node becomes the source. After a response that did not arrive in time, smaller parts are
 * asked for, since a part that takes longer than its timeout would never arrive. Confined to one
 * executor.
 */
final class DocumentClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(DocumentClient.class);

    private static final Duration RETRY_DELAY = Duration.ofMillis(50);

    /** Doublings of the delay after requests without a response: up to 400 ms and a timeout. */
    private static final int MAX_DOUBLINGS_IF_LOST = 3;

    /**
     * Doublings of the delay after unusable responses: up to 3.2 s, as these cost the leader as
     * much as useful ones.
     */
    private static final int MAX_DOUBLINGS_IF_UNUSABLE = 6;

    /** Smallest part that is asked for: within a request's timeout at 55 kbit/s. */
    private static final int MIN_PART_BYTES = 4 * 1024;

    private final PeerTransport transport;
    private final ScheduledExecutorService executor;
    private final DocumentListener listener;
    private final DocumentTransfer transfer = new DocumentTransfer();
    private final RandomGenerator random;
    private Optional<NodeId> leader = Optional.empty();
    private Optional<NodeId> source = Optional.empty();
    private List<NodeId> controlNodes = List.of();
    private long newestSentMs;
    private long confirmedMs;
    private long requestNumber;
    private boolean isBusy;
    private boolean isAwaited;
    private int lostResponses;
    private int unusableResponses;
    private volatile long failures;
    private int partBytes = DocumentServer.MAX_PART_BYTES;

    /** Receives complete documents. */
    @FunctionalInterface
    interface DocumentListener {

        /**
         * Applies a document.
         *
         * @param version the version of the document
         * @param document the document as the operator sent it
         * @param confirmedMs when the last request was sent whose response named this document as
         *     the newest, in monotonic milliseconds
         * @throws MalformedMessageException if the document cannot be decoded; nothing is applied
         */
        void accept(long version, byte[] document, long confirmedMs)
                throws MalformedMessageException;
    }

    DocumentClient(
            PeerTransport transport,
            ScheduledExecutorService executor,
            RandomGenerator random,
            DocumentListener listener) {
        this.transport = transport;
        this.executor = executor;
        this.random = random;
        this.listener = listener;
    }

    /**
     * Fetches a document unless that is in progress already.
     *
     * @param node the leader, which named the document as the newest
     * @param nodes the control nodes that may hold it
     * @param newestVersion its version, which the gateway does not hold
     * @param sentMs when the request was sent that the leader responded to, in monotonic
     *     milliseconds
     */
    void fetch(NodeId node, List<NodeId> nodes, long newestVersion, long sentMs) {
        boolean wasLeader = source.equals(leader);
        Optional<NodeId> formerSource = source;
        long formerVersion = transfer.version();
        leader = Optional.of(node);
        controlNodes = nodes;
        newestSentMs = sentMs;
        transfer.announce(newestVersion);
        if (!isAwaited && transfer.isEmpty()) {
            transfer.startNewest();
        }
        if (transfer.version() >= newestVersion) {
            confirmedMs = sentMs;
        }
        if (source.isEmpty()) {
            source = drawSource();
        } else if (wasLeader) {
            source = leader;
        }
        if (!source.equals(formerSource) || !isBusy || transfer.version() != formerVersion) {
            lostResponses = 0;
            unusableResponses = 0;
            requestNextPart();
        }
    }

    /** Ends a transfer because the gateway holds the newest document. */
    void stop() {
        requestNumber++;
        isAwaited = false;
        isBusy = false;
        source = Optional.empty();
        transfer.clear();
    }

    /** Returns the number of requests without a usable part since the start. Thread-safe. */
    long failures() {
        return failures;
    }

    private void requestNextPart() {
        Optional<DocumentPartRequest> request = transfer.nextRequest(partBytes);
        long number = ++requestNumber;
        isBusy = request.isPresent();
        if (!isBusy) {
            return;
        }
        isAwaited = true;
        try {
            transport
                    .request(
                            source.orElseThrow(),
                            DocumentServer.TOPIC,
                            DocumentPartCodec.encode(request.get()),
                            ViewClient.REQUEST_TIMEOUT)
                    .whenCompleteAsync(
                            (payload, failure) -> handleResult(number, payload, failure), executor);
        } catch (RuntimeException | Error e) {
            LOGGER.error("asking for a part of the traffic document failed", e);
            isBusy = false;
            isAwaited = false;
        }
    }

    private void requestAfter(Duration delay) {
        long number = ++requestNumber;
        executor.schedule(
                () -> {
                    if (number == requestNumber) {
                        requestNextPart();
                    }
                },
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    private void handleResult(long number, byte[] payload, Throwable failure) {
        if (number != requestNumber) {
            return;
        }
        isAwaited = false;
        if (failure != null) {
            LOGGER.info(
                    "no part of the traffic document arrived from {}, asking again: {}",
                    source.get(),
                    failure.getMessage());
            partBytes = Math.max(MIN_PART_BYTES, partBytes / 2);
            requestAfterFailures(++lostResponses, MAX_DOUBLINGS_IF_LOST);
            return;
        }
        lostResponses = 0;
        try {
            handlePart(DocumentPartCodec.decodePart(payload));
        } catch (MalformedMessageException e) {
            LOGGER.warn("ignored a part of the traffic document from {}", source.get(), e);
            startNewestIfEmpty();
            requestAfterFailures(++unusableResponses, MAX_DOUBLINGS_IF_UNUSABLE);
        } catch (RuntimeException | Error e) {
            LOGGER.error("applying a part of the traffic document failed", e);
            requestAfterFailures(++unusableResponses, MAX_DOUBLINGS_IF_UNUSABLE);
        }
    }

    private void startNewestIfEmpty() {
        if (transfer.version() > 0 && transfer.isEmpty()) {
            startNewest();
        }
    }

    private void requestAfterFailures(int failuresInARow, int maxDoublings) {
        failures = failures + 1;
        source = leader;
        int doublings = Math.min(failuresInARow - 1, maxDoublings);
        requestAfter(RETRY_DELAY.multipliedBy(1L << doublings));
    }

    private void handlePart(DocumentPart part) throws MalformedMessageException {
        switch (part.outcome()) {
            case INCLUDED -> {
                Optional<byte[]> document = transfer.accept(part);
                if (part.document().version() >= transfer.newestVersion()) {
                    confirmedMs = newestSentMs;
                }
                if (document.isPresent()) {
                    finish(part.document(), document.get());
                } else {
                    requestNextPart();
                }
            }
            case DELAYED -> requestAfter(RETRY_DELAY);
            case NOT_HELD -> {
                if (!source.equals(leader)) {
                    source = leader;
                    requestNextPart();
                    return;
                }
                LOGGER.info(
                        "{} does not hold version {} of the traffic document in the form that was"
                                + " begun, starting over",
                        source.get(),
                        transfer.version());
                boolean hasNewer = transfer.newestVersion() > transfer.version();
                startNewest();
                if (hasNewer) {
                    requestNextPart();
                } else {
                    requestAfterFailures(++unusableResponses, MAX_DOUBLINGS_IF_UNUSABLE);
                }
            }
            default -> throw new IllegalStateException("unhandled outcome " + part.outcome());
        }
    }

    private void finish(DocumentDescription description, byte[] document)
            throws MalformedMessageException {
        DocumentPartRequest acknowledgement =
                new DocumentPartRequest(
                        description.version(),
                        description.checksum(),
                        description.compressedBytes(),
                        partBytes);
        transport.send(
                source.orElseThrow(),
                DocumentServer.TOPIC,
                DocumentPartCodec.encode(acknowledgement));
        listener.accept(description.version(), document, confirmedMs);
        unusableResponses = 0;
        partBytes = DocumentServer.MAX_PART_BYTES;
        if (transfer.newestVersion() > description.version()) {
            startNewestIfEmpty();
            source = drawSource();
            requestNextPart();
        } else {
            stop();
        }
    }

    private void startNewest() {
        transfer.startNewest();
        confirmedMs = newestSentMs;
    }

    private Optional<NodeId> drawSource() {
        return controlNodes.isEmpty()
                ? leader
                : Optional.of(controlNodes.get(random.nextInt(controlNodes.size())));
    }
}
