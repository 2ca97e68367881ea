package org.cardamomthread.daemon.view;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.function.UnaryOperator;
import org.cardamomthread.configuration.traffic.generated.TrafficState;
import org.cardamomthread.core.id.NodeId;
import org.cardamomthread.daemon.dialect.MalformedMessageException;
import org.cardamomthread.daemon.view.DocumentPart.Outcome;
import org.cardamomthread.daemon.view.generated.ViewResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests in virtual time what a gateway serves by when parts of a document are lost or wrong. Guards
 * against documents that are applied in part or never, and against leases on old ones.
 */
public class DocumentFailureTests {

    private static final NodeId LEADER = new NodeId("10.0.0.1");
    private static final NodeId NEXT_LEADER = new NodeId("10.0.0.2");
    private static final int ROUTES = 6_000;
    private static final int PARTS = 4;
    private static final long CALM_MS = 1_000;
    private static final long RECOVERY_MS = 3_500;

    private SimulatedViewFleet fleet;
    private SimulatedViewFleet.Gateway gateway;
    private int parts;
    private int firstParts;

    @BeforeMethod
    public void start() {
        fleet = new SimulatedViewFleet(() -> 0); // draws the leader
        fleet.addControlNode(LEADER, 100);
        fleet.addControlNode(NEXT_LEADER, 100);
        fleet.replaceDocument(1, SimulatedViewFleet.createDocument(1, 1));
        fleet.addEndpoint();
        fleet.startGateways(1, 7);
        gateway = fleet.gateways().get(0);
        fleet.run(CALM_MS);
        assertEquals(gateway.documentVersions().get(gateway.documentVersions().size() - 1), 1L);
        gateway.documentVersions().clear();
        parts = 0;
        firstParts = 0;
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        fleet.close();
    }

    /** Each row: which part arrives changed, and how many transfers that makes. */
    @DataProvider
    public Object[][] changedParts() {
        return new Object[][] {
            {"lost", 1, part(bytes -> null), 1},
            {"first lost", 0, part(bytes -> null), 2},
            {"last lost", PARTS - 1, part(bytes -> null), 1},
            {"cut off", 1, part(bytes -> Arrays.copyOf(bytes, 100)), 1},
            {"empty message", 1, part(bytes -> new byte[0]), 1},
            {"unknown outcome", 1, part(bytes -> new byte[] {8, 9}), 1},
            {"told to wait", 1, outcome(Outcome.DELAYED), 1},
            {"other version", 1, document(0, 1, 0), 1},
            {"other offset", 1, offset(7), 1},
            {"other length", 1, document(1, 0, 0), 2},
            {"other checksum", 1, document(0, 0, 1), 2},
            {"other length at first", 0, document(1, 0, 0), 2},
            {"other checksum at first", 0, document(0, 0, 1), 2},
            {"length of 1 GB", 0, document(1 << 30, 0, 0), 2},
            {"changed byte", 2, part(DocumentFailureTests::changeLastByte), 2},
            {"not held", 1, outcome(Outcome.NOT_HELD), 2},
        };
    }

    @Test(dataProvider = "changedParts")
    public void appliesTheWholeDocumentAfterAFailure(
            String name, int changedPart, UnaryOperator<byte[]> change, int expectedTransfers) {
        filterParts(bytes -> parts == changedPart + 1 ? change.apply(bytes) : bytes);
        fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
        fleet.run(RECOVERY_MS);
        assertEquals(gateway.documentVersions(), List.of(1L, 2L), name);
        assertEquals(firstParts, expectedTransfers, name);
        assertTrue(gateway.isLeaseHeld(), name);
    }

    @Test
    public void losesTheLeaseWhileTheNewestDocumentIsMissing() {
        filterParts(bytes -> parts == 1 ? bytes : null);
        fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
        fleet.drainEndpoint();
        fleet.run(SimulatedViewFleet.VIEW_LEASE_MS);
        assertFalse(gateway.isLeaseHeld());
        assertTrue(gateway.leaveMs() <= CALM_MS + 600, "leave known at " + gateway.leaveMs());
        assertEquals(gateway.documentVersions(), List.of(1L));
        filterParts(bytes -> bytes);
        fleet.run(1_500);
        assertEquals(gateway.documentVersions(), List.of(1L, 2L));
        assertTrue(gateway.isLeaseHeld());
        assertEquals(firstParts, 1, "transfers begun");
    }

    @DataProvider
    public Object[][] partsBeforeLeaderChange() {
        return new Object[][] {{1}, {2}, {PARTS - 1}};
    }

    @Test(dataProvider = "partsBeforeLeaderChange")
    public void resumesAtTheNextLeader(int partsBefore) {
        filterParts(
                bytes -> {
                    if (parts <= partsBefore) {
                        return bytes;
                    }
                    fleet.network().stop(LEADER);
                    return parts == partsBefore + 1 ? null : bytes;
                });
        fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
        fleet.run(RECOVERY_MS);
        assertEquals(gateway.documentVersions(), List.of(1L, 2L));
        assertEquals(firstParts, 1, "transfers begun");
    }

    @DataProvider
    public Object[][] otherSources() {
        return new Object[][] {{"holds it later", false}, {"is down", true}};
    }

    @Test(dataProvider = "otherSources")
    public void asksTheLeaderIfAnotherNodeDoesNotSendTheDocument(String name, boolean isDown) {
        fleet.close();
        fleet = new SimulatedViewFleet(() -> -1L); // draws the last node
        fleet.addControlNode(LEADER, 100);
        fleet.addControlNode(NEXT_LEADER, 100);
        if (isDown) {
            fleet.network().stop(NEXT_LEADER);
        }
        fleet.startGateways(1, 7);
        fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
        fleet.run(1_250);
        assertEquals(fleet.gateways().get(0).view().documentVersion(), 2, name);
    }

    /** Guards against documents that never arrive because they change faster. */
    @Test
    public void finishesATransferWhenANewerDocumentAppears() {
        filterParts(
                bytes -> {
                    if (parts == 1) {
                        fleet.replaceDocument(3, SimulatedViewFleet.createDocument(3, ROUTES));
                        return null;
                    }
                    return bytes;
                });
        fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
        fleet.run(RECOVERY_MS);
        assertEquals(gateway.documentVersions(), List.of(1L, 3L), "no part had arrived");
        fleet.replaceDocument(4, SimulatedViewFleet.createDocument(4, ROUTES));
        parts = 1;
        filterParts(
                bytes -> {
                    if (parts == 3) {
                        fleet.replaceDocument(5, SimulatedViewFleet.createDocument(5, ROUTES));
                        return null;
                    }
                    return bytes;
                });
        fleet.run(RECOVERY_MS);
        assertEquals(gateway.documentVersions(), List.of(1L, 3L, 4L, 5L), "a part had arrived");
    }

    /** Guards against a network filled by a document that gateways cannot read. */
    @Test
    public void retriesAnUnreadableDocumentEverMoreRarely() {
        filterParts(bytes -> bytes);
        fleet.replaceDocument(2, "unreadable".getBytes(StandardCharsets.UTF_8));
        fleet.run(10_000);
        assertEquals(gateway.documentVersions(), List.of(1L));
        assertFalse(gateway.isLeaseHeld());
        assertTrue(parts >= 2 && parts <= 10, parts + " parts");
        fleet.replaceDocument(3, SimulatedViewFleet.createDocument(3, 1));
        fleet.run(600);
        assertEquals(gateway.documentVersions(), List.of(1L, 3L));
        assertTrue(gateway.isLeaseHeld());
    }

    /** Guards against parts that take longer than their timeout and start over each time. */
    @Test
    public void fetchesSmallerPartsOverASlowLink() {
        filterParts(bytes -> bytes);
        fleet.startGateways(1, 0.3);
        fleet.run(CALM_MS);
        fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
        fleet.run(15_000);
        assertEquals(fleet.gateways().get(1).view().documentVersion(), 2);
    }

    /** Each row: a view response that cannot be read or applied. */
    @DataProvider
    public Object[][] unreadableViews() {
        TrafficState state =
                TrafficState.newBuilder()
                        .setRevision(9)
                        .addDrainedDataCentres("not a name")
                        .build();
        ViewResponse invalid =
                ViewResponse.newBuilder()
                        .setStateRevision(9)
                        .setState(state)
                        .setGateways(7)
                        .build();
        return new Object[][] {
            {part(bytes -> null)},
            {part(bytes -> Arrays.copyOf(bytes, bytes.length - 1))},
            {part(bytes -> invalid.toByteArray())},
        };
    }

    @Test(dataProvider = "unreadableViews")
    public void appliesNothingOfAnUnreadableView(UnaryOperator<byte[]> change) {
        fleet.network()
                .setFilter(
                        (from, topic, payload) ->
                                topic.equals(ViewServer.TOPIC) ? change.apply(payload) : payload);
        GatewayView before = gateway.view();
        fleet.replaceDocument(2, SimulatedViewFleet.createDocument(2, ROUTES));
        fleet.drainEndpoint();
        fleet.run(RECOVERY_MS);
        assertEquals(gateway.view(), before);
        assertFalse(gateway.isLeaseHeld());
        filterParts(bytes -> bytes);
        fleet.run(RECOVERY_MS);
        assertEquals(gateway.documentVersions(), List.of(1L, 2L));
        assertTrue(gateway.isLeaseHeld());
    }

    private void filterParts(UnaryOperator<byte[]> filter) {
        fleet.network()
                .setFilter(
                        (from, topic, payload) -> {
                            if (!topic.equals(DocumentServer.TOPIC)) {
                                return payload;
                            }
                            parts++;
                            DocumentPart part = decode(payload);
                            boolean isFirst = part.offset() == 0 && !part.content().isEmpty();
                            firstParts += isFirst ? 1 : 0;
                            return filter.apply(payload);
                        });
    }

    private static UnaryOperator<byte[]> part(UnaryOperator<byte[]> change) {
        return change;
    }

    private static UnaryOperator<byte[]> outcome(Outcome outcome) {
        return bytes -> DocumentPartCodec.encode(DocumentPart.without(outcome));
    }

    private static UnaryOperator<byte[]> offset(int addedBytes) {
        return bytes -> {
            DocumentPart part = decode(bytes);
            return DocumentPartCodec.encode(
                    new DocumentPart(
                            part.outcome(),
                            part.document(),
                            part.offset() + addedBytes,
                            part.content()));
        };
    }

    private static UnaryOperator<byte[]> document(
            int addedBytes, int addedVersions, int addedChecksum) {
        return bytes -> {
            DocumentPart part = decode(bytes);
            DocumentDescription document = part.document();
            DocumentDescription changed =
                    new DocumentDescription(
                            document.version() + addedVersions,
                            document.lengthBytes() + addedBytes,
                            document.compressedBytes() + addedBytes,
                            document.checksum() + addedChecksum);
            return DocumentPartCodec.encode(
                    new DocumentPart(part.outcome(), changed, part.offset(), part.content()));
        };
    }

    private static byte[] changeLastByte(byte[] bytes) {
        DocumentPart part = decode(bytes);
        byte[] content = part.content().toByteArray();
        content[content.length - 1]++;
        return DocumentPartCodec.encode(
                new DocumentPart(
                        part.outcome(),
                        part.document(),
                        part.offset(),
                        ByteString.copyFrom(content)));
    }

    private static DocumentPart decode(byte[] bytes) {
        try {
            return DocumentPartCodec.decodePart(bytes);
        } catch (MalformedMessageException e) {
            throw new AssertionError("the server sent an unreadable part", e);
        }
    }
}
