package org.cardamomthread.daemon.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.cardamomthread.configuration.traffic.generated.ReplaceDocument;
import org.cardamomthread.configuration.traffic.generated.TrafficCommand;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.core.time.ManualTimeSource;
import org.cardamomthread.daemon.control.TrafficReplica;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.testing.TestPlatformDialect;
import org.cardamomthread.daemon.view.DocumentPart.Outcome;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which parts {@link DocumentServer} sends, in which order, and what it keeps. */
public class DocumentServerTests {

    private static final int DOCUMENT_BYTES = 100_000;
    private static final long VERSION = 2;

    private ManualTimeSource time;
    private TrafficReplica replica;
    private CompressedDocuments documents;
    private DocumentServer server;
    private byte[] document;

    @BeforeMethod
    public void create() {
        time = new ManualTimeSource();
        replica = new TrafficReplica();
        documents = new CompressedDocuments(replica);
        server = new DocumentServer(documents, Runnable::run, time);
        document = new byte[DOCUMENT_BYTES];
        new Random(1).nextBytes(document);
        replaceDocument(VERSION);
    }

    @Test
    public void sendsADocumentOfWhichEveryByteArrives() throws Exception {
        DocumentTransfer transfer = new DocumentTransfer();
        transfer.announce(VERSION);
        byte[] received = null;
        while (received == null) {
            byte[] request =
                    DocumentPartCodec.encode(transfer.nextRequest(Integer.MAX_VALUE).orElseThrow());
            byte[] part = server.handle(gateway(1), request).toCompletableFuture().get();
            assertTrue(part.length <= DocumentServer.MAX_PART_BYTES + 64, part.length + " bytes");
            received = transfer.accept(DocumentPartCodec.decodePart(part)).orElse(null);
        }
        assertEquals(received, document);
    }

    @Test
    public void letsGatewaysWaitInOrderWhileOthersReceive() throws Exception {
        for (int i = 0; i < DocumentServer.MAX_TRANSFERS; i++) {
            assertEquals(ask(i, 0).join().outcome(), Outcome.INCLUDED);
        }
        CompletableFuture<DocumentPart> first = ask(100, 0);
        CompletableFuture<DocumentPart> second = ask(101, 0);
        assertTrue(ask(0, DocumentServer.MAX_PART_BYTES).isDone(), "goes on with a transfer");
        time.advanceMs(DocumentServer.MAX_WAIT_MS);
        server.expire();
        assertEquals(first.join().outcome(), Outcome.DELAYED);
        assertEquals(second.join().outcome(), Outcome.DELAYED);
        second = ask(101, 0);
        first = ask(100, 0);
        assertFalse(first.isDone() || second.isDone());
        int allBytes = documents.find(VERSION).orElseThrow().content().size();
        ask(0, allBytes).join();
        assertTrue(first.isDone(), "kept its place");
        assertFalse(second.isDone());
        time.advanceMs(DocumentServer.TRANSFER_TIMEOUT_MS - DocumentServer.MAX_WAIT_MS);
        server.expire();
        assertEquals(second.join().outcome(), Outcome.INCLUDED, "after a silent gateway");
    }

    @DataProvider
    public Object[][] invalidRequests() {
        return new Object[][] {
            {new byte[] {-1, -1, -1}},
            {DocumentPartCodec.encode(new DocumentPartRequest(0, 0, 0, Integer.MAX_VALUE))},
            {
                DocumentPartCodec.encode(
                        new DocumentPartRequest(VERSION + 1, 0, 0, Integer.MAX_VALUE))
            },
            {DocumentPartCodec.encode(new DocumentPartRequest(VERSION, 0, -1, Integer.MAX_VALUE))},
            {DocumentPartCodec.encode(new DocumentPartRequest(VERSION, 0, 0, 0))},
            {DocumentPartCodec.encode(new DocumentPartRequest(VERSION, 0, 0, -1))},
            {
                DocumentPartCodec.encode(
                        new DocumentPartRequest(VERSION, 0, 1_000, Integer.MAX_VALUE))
            },
            {
                DocumentPartCodec.encode(
                        new DocumentPartRequest(VERSION, 0, Integer.MAX_VALUE, Integer.MAX_VALUE))
            },
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void sendsNothingForAnInvalidRequest(byte[] request) throws Exception {
        byte[] response = server.handle(gateway(1), request).toCompletableFuture().get();
        DocumentPart part = DocumentPartCodec.decodePart(response);
        assertEquals(part.outcome(), Outcome.NOT_HELD);
        assertTrue(part.content().isEmpty());
    }

    /** Guards against a control node whose memory fills with versions. */
    @Test
    public void keepsTheTwoNewestVersions() {
        for (long version = VERSION; version < VERSION + 5; version++) {
            replaceDocument(version);
            assertTrue(documents.find(version).isPresent());
            assertTrue(documents.count() <= 2);
            assertEquals(documents.find(version - 1).isPresent(), version > VERSION);
            assertFalse(documents.find(version - 2).isPresent());
        }
    }

    @DataProvider
    public Object[][] olderStates() {
        return new Object[][] {{6L, 1L, false}, {6L, 2L, true}, {4L, 3L, false}, {6L, 3L, true}};
    }

    /** Guards against a gateway that goes back to a document with a revoked key. */
    @Test(dataProvider = "olderStates")
    public void keepsTheNewestDocument(long revision, long version, boolean isApplied)
            throws Exception {
        ViewUpdater updater = new ViewUpdater(new TestPlatformDialect(), time);
        assertTrue(updater.apply(createResponse(5, 2)));
        assertFalse(updater.holdsNewestDocument());
        updater.applyDocument(2, SimulatedViewFleet.createDocument(2, 1));
        assertTrue(updater.holdsNewestDocument());
        assertEquals(updater.apply(createResponse(revision, version)), isApplied);
        updater.applyDocument(1, SimulatedViewFleet.createDocument(1, 1));
        assertEquals(updater.view().documentVersion(), 2);
        assertEquals(updater.holdsNewestDocument(), version != 3 || !isApplied);
    }

    private static ViewResponse createResponse(long revision, long documentVersion) {
        return ViewResponse.newBuilder()
                .setStateRevision(revision)
                .setState(
                        TrafficState.newBuilder()
                                .setRevision(revision)
                                .setDocumentVersion(documentVersion))
                .build();
    }

    private CompletableFuture<DocumentPart> ask(int gateway, int offset) {
        long checksum = documents.find(VERSION).orElseThrow().description().checksum();
        byte[] request =
                DocumentPartCodec.encode(
                        new DocumentPartRequest(VERSION, checksum, offset, Integer.MAX_VALUE));
        return server.handle(gateway(gateway), request)
                .toCompletableFuture()
                .thenApply(
                        payload -> {
                            try {
                                return DocumentPartCodec.decodePart(payload);
                            } catch (MalformedMessageException e) {
                                throw new AssertionError(e);
                            }
                        });
    }

    private void replaceDocument(long version) {
        ReplaceDocument command =
                ReplaceDocument.newBuilder()
                        .setVersion(version)
                        .setDocument(ByteString.copyFrom(document))
                        .build();
        replica.apply(
                version,
                TrafficCommand.newBuilder().setReplaceDocument(command).build().toByteArray());
    }

    private static NodeId gateway(int number) {
        return new NodeId("gateway-" + number);
    }
}
